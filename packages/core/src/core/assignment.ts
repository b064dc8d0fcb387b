/**
 * Which instance places which target: rendezvous hashing with bounded load.
 *
 * Plain rendezvous hashing splits few targets unevenly (7 to 3 of 10 is common), while the balancer
 * sends each instance the same share of work; the instance with fewer slots then queues at 70% load.
 * The bound gives each instance at most its even share, and a change of members still moves few
 * targets.
 */
import {rank} from "../utils/hash.js"

/**
 * Assigns each target to a member, evenly; the same on every instance that sees the same names.
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
		const member = rank(target, members).find(name => (loads.get(name) ?? 0) < bound)!
		assigned.set(target, member)
		loads.set(member, (loads.get(member) ?? 0) + 1)
	}
	return assigned
}
