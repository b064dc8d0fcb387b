/**
 * A failure domain that is divided among several placers: how its slices are named, which executors belong to which, and how
 * many there are.
 *
 * The load that it answers: more executors than one placer can ask in time, so that it hears late who is leaving, and starts
 * late what waits. Each slice has a claim, a fence and a placer of its own. Two rules keep an executor from serving two of them:
 *
 * - Executors are spread by rendezvous hashing of their addresses. When a slice is added an executor stays where it is or goes
 *   to the new slice, never to another one that was there before; all lives of an executor are in one slice.
 * - The fences of a slice lie above all fences of those below it. So a placer that an executor goes to always has a higher
 *   fence than the one that it comes from, and than any successor of that one, whatever either of them has heard.
 */
import type {ExecutorRecord} from "../types/executor.js"
import type {Claim, Member} from "../types/fleet.js"

const SLICE_MARK = "/slice-"
const SLICE_NAME = /^(.+)\/slice-([1-9]\d{0,3})$/
/** More changes of a slice's placer than a fleet sees in its life. */
const FENCES_PER_SLICE = 1_000_000
/** An instance that is smaller than the domain's largest by more than this would not keep up with a slice. */
const SMALLEST_SHARE = 2 / 3

/** Which slice of which failure domain a claim is for. */
interface Slice {
	readonly failureDomain: string
	readonly index: number
}

function sliceOfName(name: string): Slice {
	if (!name.includes(SLICE_MARK)) return {failureDomain: name, index: 0}
	if (!name.includes(SLICE_MARK)) return {failureDomain: name, index: 0}
	const [, failureDomain, index] = SLICE_NAME.exec(name) ?? []
	if (failureDomain === undefined) return {failureDomain: name, index: 0}
	return {failureDomain, index: Number(index)}
}

/** The first slice has its domain's name, so that a domain with one slice is as one that is never divided. */
export function sliceName(failureDomain: string, index: number): string {
	return index === 0 ? failureDomain : `${failureDomain}${SLICE_MARK}${index}`
}

export const sliceIndexOf = (name: string) => sliceOfName(name).index

/** The failure domain that a slice is part of. */
export const failureDomainOf = (name: string) =>
	name.includes(SLICE_MARK) ? sliceOfName(name).failureDomain : name

/** All slices of a domain that has so many. */
export function sliceNames(failureDomain: string, count: number): readonly string[] {
	return Array.from({length: count}, (_, index) => sliceName(failureDomain, index))
}

/** All fences of a slice lie above this. */
export const fenceFloorOf = (name: string) => sliceIndexOf(name) * FENCES_PER_SLICE

/** Whether a claim's fence is one that its slice may have; the claims of an undivided domain are taken as they come. */
export function isFenceInRange({failureDomain: name, fence}: Claim): boolean {
	if (sliceIndexOf(name) === 0) return true
	const floor = fenceFloorOf(name)
	return Number.isSafeInteger(fence) && fence > floor && fence < floor + FENCES_PER_SLICE
}

/** FNV-1a, 32 bits. */
function hashOf(text: string): number {
	let hash = 0x811c9dc5
	for (let at = 0; at < text.length; at++) hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193)
	return hash
}

/** The finalizer of MurmurHash3: neighbouring inputs give scores that have nothing in common. */
function scoreOf(hash: number, index: number): number {
	let mixed = hash ^ Math.imul(index + 1, 0x9e3779b1)
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
	return (mixed ^ (mixed >>> 16)) >>> 0
}

/** The slice of an executor in a domain that has so many: the one with the highest score for its address. */
export function sliceOf({address}: Pick<ExecutorRecord, "address">, count: number): number {
	if (count === 1) return 0
	const hash = hashOf(address)
	let best = 0
	for (let index = 1; index < count; index++)
		if (scoreOf(hash, index) > scoreOf(hash, best)) best = index
	return best
}

/** Those of the executors that a slice's placer has, in a domain with so many slices. */
export function executorsOfSlice(
	name: string,
	count: number,
	records: readonly ExecutorRecord[],
): readonly ExecutorRecord[] {
	const {failureDomain, index} = sliceOfName(name)
	if (index >= count) return []
	const own = records.filter(record => record.failureDomain === failureDomain)
	return count === 1 ? own : own.filter(record => sliceOf(record, count) === index)
}

/** How many slices are claimed without a gap; 1 for a domain that nobody has claimed. */
export function countSlices(failureDomain: string, isClaimed: (name: string) => boolean): number {
	let count = 0
	while (isClaimed(sliceName(failureDomain, count))) count++
	return Math.max(1, count)
}

/** A slice that nobody has claimed divides nothing, and neither does one above it. */
export function effectiveClaims(claims: ReadonlyMap<string, Claim>): readonly Claim[] {
	const counts = new Map<string, number>()
	const countOf = (failureDomain: string) => {
		const known = counts.get(failureDomain)
		const count = known ?? countSlices(failureDomain, name => claims.has(name))
		if (known === undefined) counts.set(failureDomain, count)
		return count
	}
	return [...claims.values()].filter(({failureDomain: name}) => {
		const {failureDomain, index} = sliceOfName(name)
		return index === 0 || index < countOf(failureDomain)
	})
}

/** Larger ones first; among equals the name decides. */
const bySize = (a: Member, b: Member) => b.cpuShare - a.cpuShare || (a.name < b.name ? -1 : 1)

/** The instances of a domain that could place a slice of it, in the order in which they get one. */
export function placerCandidates(members: readonly Member[]): readonly Member[] {
	const largest = Math.max(0, ...members.map(({cpuShare}) => cpuShare))
	return members.filter(({cpuShare}) => cpuShare >= largest * SMALLEST_SHARE).sort(bySize)
}

/** How many slices a domain should have; never fewer than it has, since an executor goes to no slice that was there before. */
export function targetSliceCount(domain: {
	readonly executors: number
	readonly executorsPerPlacer: number
	readonly instances: number
	readonly slices: number
}): number {
	const {executors, executorsPerPlacer, instances, slices} = domain
	const needed = Math.ceil(executors / executorsPerPlacer)
	return Math.max(slices, Math.min(needed, instances))
}
