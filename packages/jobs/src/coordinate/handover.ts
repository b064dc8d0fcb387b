/**
 * Hands a failure domain over to another placer without losing a run: on a planned stop, from an instance of another domain
 * back to one of its own, to a much larger instance, and from an overloaded one.
 *
 * The successor raises the fence first; from then on the previous placer's orders are refused. Then the previous placer
 * gives every run to the successor, which reports its end to where the job began.
 */
import type {Clock} from "@cottonwood/core"
import {failureDomainOf, sliceIndexOf} from "../decide/slices.js"
import type {ClaimsLoop} from "../fleet/claims.js"
import type {FleetView} from "../fleet/members.js"
import type {Peers, TakeOverMessage, TakeOverReply} from "../fleet/peers.js"
import type {Claim, Member} from "../types/fleet.js"
import {shortSession, type EventLog} from "../utils/log.js"
import type {HostedPlacers} from "./hosted-placers.js"
import type {Overflow} from "./overflow.js"
import type {JobMetrics} from "../utils/metrics.js"
import {keepGoing} from "../utils/keep-going.js"

/**
 * Time allowed for a takeover, which includes two calls to a possibly slow store. Asking a second successor earlier would
 * take the domain from the first, and its runs would be lost.
 */
const TAKEOVER_TIMEOUT_MS = 1_800
/** Maximum number of successors asked; the rest of the stop's grace period is for work in progress. */
const MAX_ASKED = 2
/** A better placer must have been available this long before it gets the domain. */
const SETTLED_MS = 2_000
const POLL_MS = 200
/** Minimum time between two handovers because of overload. */
const OVERLOAD_HANDOVER_PAUSE_MS = 3_000
/** How many times larger an instance of the same domain must be to be worth a handover. */
const MUCH_LARGER = 1.5
/**
 * A domain goes back to an instance of its own that is much smaller than its placer only after this long; a restarted
 * larger one is back sooner. When the larger ones are restarted in turn, the small one would be overloaded meanwhile, and refuse
 * callers or serve them late.
 */
const SMALL_SETTLED_MS = 20_000

export interface HandoverDeps {
	readonly clock: Clock
	readonly log: EventLog
	readonly metrics: Pick<JobMetrics, "count">
	readonly peers: Peers
	readonly view: FleetView
	readonly self: Member
	readonly hosts: HostedPlacers
	readonly overflow: Overflow
	readonly claims: () => ClaimsLoop
	/** The failure domains and slices that this instance places and may hand over. */
	readonly placedDomains: () => readonly string[]
	readonly isLeaving: () => boolean
	/** Whether this instance is overloaded. */
	readonly isStrained: () => boolean
}

export interface Handover {
	/** Hands over every failure domain placed here, for a planned stop. */
	handOverAll(): Promise<void>
	/** Takes a failure domain over from the placer that asks. Declined while leaving or overloaded, or for an old fence. */
	takeOver(message: TakeOverMessage): Promise<TakeOverReply>
	close(): void
}

export function createHandover(deps: HandoverDeps): Handover {
	const {clock, log, peers, view, self, hosts, overflow} = deps
	const betterSince = new Map<string, {readonly session: string; readonly at: number}>()
	/** The last handover begun, by failure domain. */
	const inProgress = new Map<string, Promise<boolean>>()
	let overloadHandoverAt = -Infinity
	let isClosed = false

	function successorsFor(failureDomain: string): readonly Member[] {
		const others = view.members().filter(({session}) => session !== self.session)
		const staying = others.filter(({session}) => !view.isLeaving(session))
		const rank = (member: Member) => {
			const isInDomain = member.failureDomain === failureDomainOf(failureDomain)
			if (isMuchSmaller(member)) return isInDomain ? 3 : 4
			if (isInDomain) return isSliced(failureDomain) && isPlacing(member) ? 0.5 : 0
			return isPlacing(member) ? 2 : 1
		}
		return [...staying]
			.sort((a, b) => rank(a) - rank(b) || b.cpuShare - a.cpuShare)
			.slice(0, MAX_ASKED)
	}

	const isSliced = (failureDomain: string) => view.sliceCount(failureDomain) > 1

	function isPlacing({session}: Member): boolean {
		return view.claims().some(({placer}) => placer.session === session)
	}

	/** Whether the instance is too small for what is placed here. */
	const isMuchSmaller = ({cpuShare}: Member) => cpuShare * MUCH_LARGER < self.cpuShare

	/**
	 * Hands the domain over to an instance, one request at a time: a second successor asked too early takes the domain from
	 * the first.
	 */
	function handOverTo(failureDomain: string, member: Member): Promise<boolean> {
		const before = inProgress.get(failureDomain) ?? Promise.resolve(false)
		const next = before.then(() => requestTakeover(failureDomain, member))
		inProgress.set(failureDomain, next)
		return next
	}

	async function requestTakeover(failureDomain: string, member: Member): Promise<boolean> {
		const claim = view.claimOf(failureDomain)
		if (!claim || claim.placer.session !== self.session) return true
		const message: TakeOverMessage = {
			failureDomain,
			fence: claim.fence,
			executors: hosts.executorsOf(failureDomain),
			from: self.session,
		}
		hosts.offerHandover(failureDomain)
		const reply = await peers.takeOver(member.address, message, TAKEOVER_TIMEOUT_MS).reply
		const asked = {peer: member.name, session: shortSession(member.session)}
		const fields = {failureDomain, fence: claim.fence, ...asked}
		const outcome = reply?.isTaken ? "taken" : reply ? "declined" : "silent"
		log.alarm("placer", "handover", "placer: asked an instance to take over.", {...fields, outcome})
		const successor = reply?.isTaken
			? {failureDomain, fence: claim.fence + 1, placer: member}
			: claimSince(claim, member)
		if (!successor) {
			hosts.withdrawHandover(failureDomain)
			return false
		}
		hosts.handOverTo(successor, overflow)
		view.noteHeard(member.session)
		view.noteClaim(successor)
		return true
	}

	/** The claim that the asked instance has written although its answer was lost. */
	function claimSince({failureDomain, fence}: Claim, {session}: Member): Claim | undefined {
		const known = view.claimOf(failureDomain)
		return known && known.fence > fence && known.placer.session === session ? known : undefined
	}

	async function handOver(failureDomain: string) {
		for (const member of successorsFor(failureDomain))
			if (await handOverTo(failureDomain, member)) return
		const fields = {failureDomain}
		log.alarm("placer", "handover_failed", "placer: no instance took over the domain.", fields)
	}

	/** Whether several slices of the domain are placed here, and this one could go to a free instance. */
	function isSurplusSlice(failureDomain: string): boolean {
		return sliceIndexOf(failureDomain) > 0 && deps.placedDomains().length > 1
	}

	/** The best instance of the domain itself that should place it instead of this one. */
	function betterPlacer(failureDomain: string): Member | undefined {
		const isFree = (member: Member) => !isSliced(failureDomain) || !isPlacing(member)
		return view
			.membersOf(failureDomain)
			.filter(({session}) => session !== self.session && !view.isLeaving(session))
			.filter(({session}) => !view.isStrained(session))
			.filter(member => isBetter(failureDomain, member, isFree(member)))
			.sort(
				(a, b) =>
					Number(isFree(b)) - Number(isFree(a)) ||
					b.cpuShare - a.cpuShare ||
					(a.name < b.name ? -1 : 1),
			)[0]
	}

	function isBetter(failureDomain: string, member: Member, isFree: boolean): boolean {
		if (failureDomainOf(failureDomain) !== self.failureDomain) return true
		if (!isFree) return false
		if (isSurplusSlice(failureDomain)) return !isMuchSmaller(member)
		return member.cpuShare > self.cpuShare * MUCH_LARGER
	}

	/** The better placer once it has been available long enough. */
	function settledBetterPlacer(failureDomain: string): Member | undefined {
		const better = betterPlacer(failureDomain)
		const known = betterSince.get(failureDomain)
		if (!better) betterSince.delete(failureDomain)
		else if (known?.session !== better.session)
			betterSince.set(failureDomain, {session: better.session, at: clock.now()})
		else if (clock.now() - known.at >= (isMuchSmaller(better) ? SMALL_SETTLED_MS : SETTLED_MS))
			return better
		return undefined
	}

	async function handToBetterPlacers() {
		for (const failureDomain of deps.placedDomains()) {
			const better = settledBetterPlacer(failureDomain)
			if (better) await handOverTo(failureDomain, better)
		}
	}

	/** Hands over everything placed here because of overload, to instances that aren't overloaded. */
	async function handOverForOverload() {
		overloadHandoverAt = clock.now()
		for (const failureDomain of deps.placedDomains()) {
			const member = successorsFor(failureDomain).find(({session}) => !view.isStrained(session))
			if (!member) continue
			const fields = {failureDomain, peer: member.name}
			log.alarm("placer", "relief_sought", "placer: overloaded; handing over its domain.", fields)
			await handOverTo(failureDomain, member)
		}
	}

	async function loop() {
		while (!isClosed) {
			await clock.sleep(POLL_MS)
			if (isClosed || deps.isLeaving()) continue
			if (!deps.isStrained()) await handToBetterPlacers()
			else if (clock.now() - overloadHandoverAt >= OVERLOAD_HANDOVER_PAUSE_MS)
				await handOverForOverload()
		}
	}

	void keepGoing("handover", loop, deps)
	return {
		async handOverAll() {
			await Promise.all(deps.placedDomains().map(handOver))
		},
		async takeOver({failureDomain, fence, executors}) {
			if (deps.isLeaving() || deps.isStrained()) return {isTaken: false}
			const known = view.claimOf(failureDomain)
			if (known && known.fence > fence) return {isTaken: false}
			hosts.expectHandover({failureDomain, fence: fence + 1}, executors)
			return {isTaken: await deps.claims().claimNow(failureDomain, fence)}
		},
		close() {
			isClosed = true
		},
	}
}
