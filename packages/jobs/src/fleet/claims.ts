/**
 * Decides when this instance becomes the placer of a failure domain, and writes the claim.
 *
 * A failure domain of another one's instances is taken over when its executors are in reach here. When none is, it is lost or cut
 * off and at work, which cannot be told apart from outside; it is taken over only for its kept jobs, which its successor starts
 * elsewhere once the previous placer has certainly ended them by itself.
 *
 * A claim is written by compare-and-set and each change raises the fence. So of two instances that
 * try at once only one succeeds, and the previous placer is refused by every executor that has seen
 * the new fence. Silence only decides when to try; see silence-limits.
 */
import type {Store} from "@cottonwood/core"
import {failureDomainOf, fenceFloorOf, sliceIndexOf} from "../decide/slices.js"
import type {Claim, Member} from "../types/fleet.js"
import {shortSession, type EventLog} from "../utils/log.js"
import {isStoreAway} from "../utils/store-silence.js"
import type {JobMetrics} from "../utils/metrics.js"
import {claimKey, isClaimAt, type FleetView} from "./members.js"
import {trackReach, type ReachDeps} from "./reach.js"
import {latenessAllowanceMs, PLACER_SILENT_MS, silenceLimitMs} from "./silence-limits.js"
import {createRank} from "./rank.js"
import {keepGoing} from "../utils/keep-going.js"

const TICK_MS = 100
/** Each lower-ranked candidate waits longer by this: a few writes to the store. */
const RANK_STEP_MS = 250
/** Instances of other domains wait until the domain's own had every chance. */
const FOREIGN_SILENT_MS = 2_500
/** Heartbeats, leases and connections recover within this time after a network partition. */
const REACHABLE_MS = 2_000
/** No executor of a failure domain has answered for this long: three probes. */
const UNREACHABLE_MS = 1_500
/** When a fleet starts for the first time, the domain's own instances register within this time. */
const START_GRACE_MS = 1_500
/**
 * Least time between two tries for the same claim; the store's answer and its change notice take
 * less.
 */
const RETRY_MS = 500
/** Number of other instances that are pinged to find out whether this one is isolated. */
const WITNESS_COUNT = 3

/** Resolves with true at the first true answer, with false once all are false. */
async function isAnyTrue(answers: readonly Promise<boolean>[]): Promise<boolean> {
	const yes = answers.map(answer =>
		answer.then(is => (is ? true : Promise.reject(new Error("no")))),
	)
	return Promise.any(yes).catch(() => false)
}

export interface ClaimsDeps extends ReachDeps {
	readonly store: Store
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly self: Member
	readonly view: FleetView
	readonly failureDomains: () => readonly string[]
	readonly isLeaving: () => boolean
	/**
	 * Asks a member for a heartbeat, with the time-out extended by `allowanceMs` milliseconds.
	 * Resolves with the session that answers at its address; undefined without an answer.
	 */
	readonly ping: (member: Member, allowanceMs: number) => Promise<string | undefined>
	/** How late this instance's own timers recently fired, in milliseconds. */
	readonly ownLateMs: () => number
	/** Whether the store has kept jobs of the domain or slice; false without an answer. */
	readonly hasKeptJobs: (failureDomain: string) => Promise<boolean>
	/** Called before a claim is written of a domain of which no executor is in reach. */
	readonly onCutOff: (claim: Pick<Claim, "failureDomain" | "fence">) => void
}

interface PingResult {
	readonly session: string
	readonly at: number
	readonly isSilent: boolean
}

export interface ClaimsLoop {
	/**
	 * Claims a domain now from the placer with this fence, which gives it up; false when the claim
	 * could not be written.
	 */
	claimNow(failureDomain: string, fence: number): Promise<boolean>
	/**
	 * Checks the claims without waiting for the next tick, since more is known of them. Saves some
	 * 50 ms when the whole fleet restarts.
	 */
	checkNow(): void
	close(): void
}

/**
 * Whether all slices below this one are known to be claimed; a slice has the executors that they
 * leave.
 */
function areLowerSlicesClaimed(view: FleetView, name: string): boolean {
	const index = sliceIndexOf(name)
	if (index === 0) return true
	return view.claimOf(failureDomainOf(name)) !== undefined && index <= view.sliceCount(name)
}

export function createClaimsLoop(deps: ClaimsDeps): ClaimsLoop {
	const {clock, store, log, metrics, self, view} = deps
	const {rankOf, rankForSlice} = createRank(view, self)
	const startedAt = clock.now()
	const learnedAt = new Map<string, {readonly fence: number; readonly at: number}>()
	const triedAt = new Map<string, number>()
	const reach = trackReach(deps)
	/** Since when the store has answered; Infinity while it does not, as where it is this instance that is cut off. */
	let storeHeardSince = startedAt
	/** Last pings of other domains' placers, by domain. */
	const pings = new Map<string, PingResult>()
	let isClosed = false
	let wake = () => undefined as void

	/**
	 * Milliseconds since the domain's placer was heard, or since its claim became known if that is
	 * later.
	 */
	function vacantMs(failureDomain: string, claim: Claim | undefined): number {
		const fence = claim?.fence ?? 0
		const known = learnedAt.get(failureDomain)
		if (known?.fence !== fence) learnedAt.set(failureDomain, {fence, at: clock.now()})
		const sinceLearned = clock.now() - (learnedAt.get(failureDomain)?.at ?? startedAt)
		if (!claim) return sinceLearned
		return Math.min(sinceLearned, view.silentMs(claim.placer.session))
	}

	/**
	 * Whether another domain's placer is silent when pinged. Not everybody receives its heartbeats,
	 * so its silence alone proves nothing. The answer is known at the next check.
	 */
	function isSilentWhenPinged({failureDomain, placer}: Claim): boolean {
		const known = pings.get(failureDomain)
		if (!known || clock.now() - known.at >= RETRY_MS) pingPlacer(failureDomain, placer)
		return known !== undefined && known.session === placer.session && known.isSilent
	}

	function pingPlacer(failureDomain: string, placer: Member) {
		const {session} = placer
		const isSilent = pings.get(failureDomain)?.isSilent ?? false
		pings.set(failureDomain, {session, at: clock.now(), isSilent})
		void isAlive(placer).then(isAnswered => {
			pings.set(failureDomain, {session, at: clock.now(), isSilent: !isAnswered})
			if (isAnswered) reach.forget(failureDomain)
		})
	}

	/** Another session at the same address doesn't count: nobody places for the previous one. */
	async function isAlive(placer: Member): Promise<boolean> {
		return (await deps.ping(placer, latenessAllowanceMs(deps, placer))) === placer.session
	}

	/** Whether the placer's process was replaced by a new one. */
	function hasNewerSession({name, session}: Member): boolean {
		return view.members().some(member => member.name === name && member.session !== session)
	}

	/**
	 * Whether the domain has been reachable for long enough. After a network partition heals,
	 * executors answer before their placer is heard again.
	 */
	function isReachableLongEnough(failureDomain: string): boolean {
		reach.probe(failureDomain)
		return (reach.reachableMs(failureDomain) ?? 0) >= REACHABLE_MS
	}

	function requiredWaitMs(failureDomain: string, claim: Claim | undefined): number {
		const isOwn = failureDomainOf(failureDomain) === self.failureDomain
		const ownInstances = view.membersOf(failureDomain).filter(isAnother(claim?.placer))
		const candidates = isOwn ? ownInstances : view.members().filter(isAnother(claim?.placer))
		const isDivided = view.sliceCount(failureDomain) > 1
		const rank = isOwn && isDivided ? rankForSlice(candidates) : rankOf(candidates)
		const ranked = rank * RANK_STEP_MS
		const isGone = !claim || hasNewerSession(claim.placer)
		if (isOwn) return ranked + (isGone ? 0 : silenceLimitMs(deps, claim.placer))
		if (ownInstances.length > 0) return Infinity
		return ranked + FOREIGN_SILENT_MS + (claim ? 0 : START_GRACE_MS)
	}

	const isRegistered = ({session}: Member) =>
		view.members().some(member => member.session === session)

	const isAnother = (placer: Member | undefined) => (member: Member) =>
		member.session !== placer?.session

	/**
	 * Whether the claim is of this instance's previous process: nobody else can be the placer, and
	 * no ping needs to delay the claim.
	 */
	function isOwnPreviousSession(claim: Claim | undefined): boolean {
		return claim?.placer.name === self.name && claim.placer.session !== self.session
	}

	/** Whether this instance is isolated: no other instance answers either. */
	async function isIsolated(placer: Member | undefined): Promise<boolean> {
		const others = view.members().filter(isAnother(placer)).filter(isAnother(self))
		if (others.length === 0) return false
		const answers = others
			.slice(0, WITNESS_COUNT)
			.map(async other => (await deps.ping(other, latenessAllowanceMs(deps, other))) !== undefined)
		return !(await isAnyTrue(answers))
	}

	async function considerClaim(failureDomain: string) {
		const claim = view.claimOf(failureDomain)
		if (claim?.placer.session === self.session) return
		const isOwn = failureDomainOf(failureDomain) === self.failureDomain
		// One instance of each failure domain watches the others: any partition leaves one on each
		// side.
		if (!isOwn && rankOf(view.membersOf(self.failureDomain)) > 0) return
		const waitMs = requiredWaitMs(failureDomain, claim)
		const vacantForMs = vacantMs(failureDomain, claim)
		// Checked from the first silence on, so that the waiting times overlap.
		const isForeignReachable =
			!isOwn && isForeignVacant(claim, vacantForMs) && isReachableLongEnough(failureDomain)
		if (!isOwnPreviousSession(claim) && vacantForMs < waitMs) return
		if (clock.now() - (triedAt.get(failureDomain) ?? -Infinity) < RETRY_MS) return
		triedAt.set(failureDomain, clock.now())
		if (!isOwnPreviousSession(claim)) {
			if (claim && (await isAlive(claim.placer))) return reach.forget(failureDomain)
			if (await isIsolated(claim?.placer)) return noteHeldBack(failureDomain, "nobody answers us")
		}
		const cause = `no word for ${Math.round(vacantForMs)} ms`
		if (isOwn || isForeignReachable) await write(failureDomain, claim?.fence, cause)
		else await considerCutOff(failureDomain, claim, cause)
	}

	/** Claims a domain of which no executor is in reach, if it has kept jobs that somebody else has to run. */
	async function considerCutOff(failureDomain: string, claim: Claim | undefined, cause: string) {
		const sinceMs = Math.min(reach.unreachableMs(failureDomain) ?? 0, clock.now() - storeHeardSince)
		const isCutOff = sinceMs >= UNREACHABLE_MS && claim && !isRegistered(claim.placer)
		if (!isCutOff || !(await deps.hasKeptJobs(failureDomain)))
			return noteHeldBack(failureDomain, "its executors were not in reach for long enough")
		// Before the write, since one that is not answered is learnt of like a claim of somebody else.
		deps.onCutOff({failureDomain, fence: claim.fence + 1})
		await write(failureDomain, claim.fence, `nothing there answers; ${cause}`)
	}

	function isForeignVacant(claim: Claim | undefined, vacantForMs: number): boolean {
		return vacantForMs > PLACER_SILENT_MS && (!claim || isSilentWhenPinged(claim))
	}

	function noteHeldBack(failureDomain: string, cause: string) {
		metrics.count("claims", "held_back")
		const fields = {failureDomain, cause}
		log.event("fleet", "claim_held_back", "fleet: does not claim a failure domain.", fields)
	}

	/**
	 * Writes the next claim if the one in the store is still the one that was checked; true when
	 * this instance holds the claim.
	 */
	async function write(
		failureDomain: string,
		expectedFence: number | undefined,
		cause: string,
	): Promise<boolean> {
		const key = claimKey(failureDomain)
		const item = await store.get(key)
		if (item === undefined) return false
		const stored = item && isClaimAt(key, item.value) ? item.value : undefined
		if (stored) view.noteClaim(stored)
		const known = view.claimOf(failureDomain)
		if (stored?.placer.session === self.session) return true
		if (stored && known && stored.fence < known.fence) return false
		// A slice whose fence is at its floor was never claimed.
		const floor = fenceFloorOf(failureDomain)
		const fence = known?.fence ?? floor
		if (fence !== (expectedFence ?? floor)) return false
		const claim: Claim = {failureDomain, fence: fence + 1, placer: self}
		const put = await store.put(key, claim, {expect: item?.revision ?? 0})
		metrics.count("claims", put.type)
		const fields = {failureDomain, fence: claim.fence, cause, outcome: put.type}
		log.alarm("fleet", "claim_written", "fleet: claims a failure domain.", {
			...fields,
			peer: known?.placer.name,
			session: shortSession(known?.placer.session),
		})
		if (put.type !== "done") return false
		view.noteClaim(claim)
		return true
	}

	/** Resolves at the next tick, or when `checkNow` is called. */
	function pause(): Promise<void> {
		return new Promise(resolve => {
			wake = resolve
			clock.schedule(TICK_MS, resolve)
		})
	}

	async function loop() {
		while (!isClosed) {
			await pause()
			storeHeardSince = isStoreAway(store) ? Infinity : Math.min(storeHeardSince, clock.now())
			if (deps.isLeaving()) continue
			for (const failureDomain of deps.failureDomains()) {
				if (!isClosed) await considerClaim(failureDomain)
			}
		}
	}

	void keepGoing("claims", loop, deps)
	return {
		claimNow(failureDomain, fence) {
			if (!areLowerSlicesClaimed(view, failureDomain)) {
				metrics.count("broken_assumptions", "slice_asked_for")
				return Promise.resolve(false)
			}
			return write(failureDomain, fence, "its placer gives it up")
		},
		checkNow: () => wake(),
		close() {
			isClosed = true
		},
	}
}
