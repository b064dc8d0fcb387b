/** The free capacity of other failure domains that a placer may count on in its forecasts. */
import type {FleetView} from "../fleet/members.js"
import type {Member} from "../types/fleet.js"

/** Reports older than this are ignored: two heartbeats. */
const REPORT_VALID_MS = 500
const MILLICORES = 1_000

/** This placer's part of the other domains' free cores, since all other placers get the same reports. */
export function borrowableCoresOf(view: FleetView, self: Member, now: number): number {
	const claims = view.claims()
	let free = 0
	for (const {failureDomain, placer} of claims) {
		if (placer.session === self.session || view.isLeaving(placer.session)) continue
		const told = view.roomOf(failureDomain)
		if (!told || now - told.at > REPORT_VALID_MS) continue
		for (const cpu of told.room.freeCpu) if (Number.isFinite(cpu) && cpu > 0) free += cpu
	}
	return free / MILLICORES / Math.max(1, claims.length - 1)
}
