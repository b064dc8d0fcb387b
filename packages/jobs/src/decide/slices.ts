/**
 * Slices of a failure domain with too many executors for one placer: names, assignment of executors, and number.
 *
 * With too many executors a placer cannot ask all of them in time: it learns late which are leaving, and starts waiting tasks late.
 * Each slice has its own claim, fence and placer. Two rules keep an executor from serving two slices:
 *
 * - Executors are assigned by rendezvous hashing of their addresses. When a slice is added, an executor stays or moves to the
 *   new slice. A restarted executor stays in its slice.
 * - All fences of a slice are above all fences of the slices below it. So an executor always moves to a placer with a higher
 *   fence, whatever either placer knows.
 */
import type {ExecutorRecord} from "../types/executor.js"
import type {Claim, Member} from "../types/fleet.js"

const SLICE_INFIX = "/slice-"
const SLICE_NAME = /^(.+)\/slice-([1-9]\d{0,3})$/
/** Exceeds the placer changes of a slice in a fleet's lifetime. */
const FENCES_PER_SLICE = 1_000_000
/**
 * The smallest instance that can place a slice, relative to the domain's largest instance; a smaller one would not keep up with
 * it.
 */
const MIN_SIZE_RATIO = 2 / 3

interface Slice {
	readonly failureDomain: string
	readonly index: number
}

function parseSliceName(name: string): Slice {
	if (!name.includes(SLICE_INFIX)) return {failureDomain: name, index: 0}
	if (!name.includes(SLICE_INFIX)) return {failureDomain: name, index: 0}
	const [, failureDomain, index] = SLICE_NAME.exec(name) ?? []
	if (failureDomain === undefined) return {failureDomain: name, index: 0}
	return {failureDomain, index: Number(index)}
}

/** The first slice has the name of its domain, so that an undivided domain needs no special case. */
export function sliceName(failureDomain: string, index: number): string {
	return index === 0 ? failureDomain : `${failureDomain}${SLICE_INFIX}${index}`
}

export const sliceIndexOf = (name: string) => parseSliceName(name).index

/** The failure domain of a slice. */
export const failureDomainOf = (name: string) =>
	name.includes(SLICE_INFIX) ? parseSliceName(name).failureDomain : name

/** The names of a domain's slices. */
export function sliceNames(failureDomain: string, count: number): readonly string[] {
	return Array.from({length: count}, (_, index) => sliceName(failureDomain, index))
}

/** All fences of a slice are above this. */
export const fenceFloorOf = (name: string) => sliceIndexOf(name) * FENCES_PER_SLICE

/** Whether a claim's fence is in the range of its slice; any finite one is valid for a first slice. */
export function isFenceInRange({failureDomain: name, fence}: Claim): boolean {
	if (sliceIndexOf(name) === 0) return Number.isFinite(fence)
	const floor = fenceFloorOf(name)
	return Number.isSafeInteger(fence) && fence > floor && fence < floor + FENCES_PER_SLICE
}

/** FNV-1a, 32 bits. */
function hashOf(text: string): number {
	let hash = 0x811c9dc5
	for (let at = 0; at < text.length; at++) hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193)
	return hash
}

/** The finalizer of MurmurHash3, so that adjacent inputs give unrelated scores. */
function scoreOf(hash: number, index: number): number {
	let mixed = hash ^ Math.imul(index + 1, 0x9e3779b1)
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
	return (mixed ^ (mixed >>> 16)) >>> 0
}

/** The index of an executor's slice: the one with the highest score for its address. */
export function sliceOf({address}: Pick<ExecutorRecord, "address">, count: number): number {
	if (count === 1) return 0
	const hash = hashOf(address)
	let best = 0
	for (let index = 1; index < count; index++)
		if (scoreOf(hash, index) > scoreOf(hash, best)) best = index
	return best
}

/** The executors of a slice, in a domain with `count` slices. */
export function executorsOfSlice(
	name: string,
	count: number,
	records: readonly ExecutorRecord[],
): readonly ExecutorRecord[] {
	const {failureDomain, index} = parseSliceName(name)
	if (index >= count) return []
	const own = records.filter(record => record.failureDomain === failureDomain)
	return count === 1 ? own : own.filter(record => sliceOf(record, count) === index)
}

/** How many slices are claimed without a gap; at least 1. */
export function countSlices(failureDomain: string, isClaimed: (name: string) => boolean): number {
	let count = 0
	while (isClaimed(sliceName(failureDomain, count))) count++
	return Math.max(1, count)
}

/** The claims without those of slices above a gap. */
export function effectiveClaims(claims: ReadonlyMap<string, Claim>): readonly Claim[] {
	const counts = new Map<string, number>()
	const countOf = (failureDomain: string) => {
		const known = counts.get(failureDomain)
		const count = known ?? countSlices(failureDomain, name => claims.has(name))
		if (known === undefined) counts.set(failureDomain, count)
		return count
	}
	return [...claims.values()].filter(({failureDomain: name}) => {
		const {failureDomain, index} = parseSliceName(name)
		return index === 0 || index < countOf(failureDomain)
	})
}

/** Largest first, then by name. */
const bySize = (a: Member, b: Member) => b.cpuShare - a.cpuShare || (a.name < b.name ? -1 : 1)

/** The instances of a domain that can place a slice, in order of preference. */
export function placerCandidates(members: readonly Member[]): readonly Member[] {
	const largest = Math.max(0, ...members.map(({cpuShare}) => cpuShare))
	return members.filter(({cpuShare}) => cpuShare >= largest * MIN_SIZE_RATIO).sort(bySize)
}

/** How many slices a domain should have; never fewer than now, since executors move to new slices only. */
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
