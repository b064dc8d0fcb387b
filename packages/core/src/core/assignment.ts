/**
 * Assigns targets to entry instances by rendezvous hashing with bounded load.
 *
 * The bound caps each instance at its even share, since plain rendezvous hashing splits few targets
 * unevenly. A change of members still moves few targets.
 */
import {rankByRendezvous} from "../utils/hash.js"

/**
 * Returns the member of each target. Instances that know the same names compute the same result.
 *
 * @example assignEvenly(["x1", "x2"], ["e1", "e2"]).get("x1")
 */
export function assignEvenly(
	targets: readonly string[],
	members: readonly string[],
): ReadonlyMap<string, string> {
	const assigned = new Map<string, string>()
	if (members.length === 0) return assigned
	const bound = Math.ceil(targets.length / members.length)
	const loads = new Map<string, number>()
	for (const target of [...targets].sort()) {
		const member = rankByRendezvous(target, members).find(name => (loads.get(name) ?? 0) < bound)!
		assigned.set(target, member)
		loads.set(member, (loads.get(member) ?? 0) + 1)
	}
	return assigned
}
