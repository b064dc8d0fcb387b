/**
 * Decides when this instance becomes the placer of a failure domain, and writes the claim.
 *
 * A claim changes only by comparison with the one that was read, and each change raises the fence, so
 * two instances that try at once cannot both succeed, and the placer before is refused by every
 * executor that has seen the new fence. Silence only decides when to try; how long it must be, see patience.
 */
import type {Clock, Store} from "@cottonwood/core"
import {failureDomainOf, fenceFloorOf, sliceIndexOf} from "../decide/slices.js"
import type {Claim, Member} from "../types/fleet.js"
import {shortSession, type EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import {claimKey, isClaimAt, type FleetView} from "./members.js"
import {latenessAllowanceMs, PLACER_SILENT_MS, silenceLimitMs} from "./silence-limits.js"
import {createRank} from "./rank.js"

const TICK_MS = 100
/** Each further candidate waits longer by this, a few writes to the store. */
const RANK_STEP_MS = 250
/** Instances of other domains step in only after the domain's own had every chance. */
const FOREIGN_SILENT_MS = 2_500
/** Beats, leases and connections are back within this after a cut. */
const REACHABLE_MS = 2_000
/** At the very first start the domain's own instances register within this. */
const START_GRACE_MS = 1_500
/** No second try for the same claim within this: the store's answer and its news take less. */
const RETRY_MS = 500
/** Other instances that are asked whether it is us who is cut off. */
const WITNESSES = 3

/** Resolves with the first yes, or with no once all have said so. */
async function isAnyTrue(answers: readonly Promise<boolean>[]): Promise<boolean> {
	const yes = answers.map(answer =>
		answer.then(is => (is ? true : Promise.reject(new Error("no")))),
	)
	return Promise.any(yes).catch(() => false)
}

export interface ClaimsDeps {
	readonly clock: Clock
	readonly store: Store
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly self: Member
	readonly view: FleetView
	readonly failureDomains: () => readonly string[]
	readonly isLeaving: () => boolean
	/**
	 * Asks a member for a sign of life, and waits for it so much longer than usual; resolves with the session that
	 * answers at its address, if any does.
	 */
	readonly ping: (member: Member, patienceMs: number) => Promise<string | undefined>
	/** By how much this instance's own timers were late of late, in milliseconds. */
	readonly ownLateMs: () => number
	/** Whether any executor of the domain answers us. */
	readonly canReachExecutors: (failureDomain: string) => Promise<boolean>
}

interface Asked {
	readonly session: string
	readonly at: number
	readonly isSilent: boolean
}

export interface ClaimsLoop {
	/** Takes a domain over now, from the placer with this fence, which gives it up. */
	claimNow(failureDomain: string, fence: number): Promise<boolean>
	/** Looks at the claims at once: more is known of them. After a loss of all that ends the wait some 50 ms sooner. */
	checkNow(): void
	close(): void
}

/** A slice is taken only where all those below it are known to be claimed: it has the executors that they leave. */
function knowsSlicesBefore(view: FleetView, name: string): boolean {
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
	const reachableSince = new Map<string, number>()
	const lookedForAt = new Map<string, number>()
	/** Placers of other domains that were asked for a sign of life, by domain. */
	const asked = new Map<string, Asked>()
	let isClosed = false
	let wake = () => undefined as void

	/** How long the domain has been without a word from its placer, by what we know. */
	function vacantMs(failureDomain: string, claim: Claim | undefined): number {
		const fence = claim?.fence ?? 0
		const known = learnedAt.get(failureDomain)
		if (known?.fence !== fence) learnedAt.set(failureDomain, {fence, at: clock.now()})
		const sinceLearned = clock.now() - (learnedAt.get(failureDomain)?.at ?? startedAt)
		if (!claim) return sinceLearned
		return Math.min(sinceLearned, view.silentMs(claim.placer.session))
	}

	/**
	 * Placers of other domains are not heard by everybody, so one that seems silent is asked before anything
	 * else is done about it; what it answers is known at the next look.
	 */
	function isSilentWhenAsked({failureDomain, placer}: Claim): boolean {
		const known = asked.get(failureDomain)
		if (!known || clock.now() - known.at >= RETRY_MS) askForSign(failureDomain, placer)
		return known !== undefined && known.session === placer.session && known.isSilent
	}

	function askForSign(failureDomain: string, placer: Member) {
		const {session} = placer
		const isSilent = asked.get(failureDomain)?.isSilent ?? false
		asked.set(failureDomain, {session, at: clock.now(), isSilent})
		void isAlive(placer).then(isAnswered => {
			asked.set(failureDomain, {session, at: clock.now(), isSilent: !isAnswered})
			if (isAnswered) reachableSince.delete(failureDomain)
		})
	}

	/** Another life at the same address is no sign of life: nobody places for the one before. */
	async function isAlive(placer: Member): Promise<boolean> {
		return (await deps.ping(placer, latenessAllowanceMs(deps, placer))) === placer.session
	}

	/** Whether the placer's process has been followed by another one. */
	function isFollowed({name, session}: Member): boolean {
		return view.members().some(member => member.name === name && member.session !== session)
	}

	/**
	 * After a cut has healed executors are in reach again before their placer is heard again; so a
	 * foreign domain must have been in reach, and silent, for a while.
	 */
	function isLongInReach(failureDomain: string): boolean {
		lookForExecutors(failureDomain)
		const since = reachableSince.get(failureDomain)
		return since !== undefined && clock.now() - since >= REACHABLE_MS
	}

	/** Asks some executors of the domain; what they answer is known at the next look. */
	function lookForExecutors(failureDomain: string) {
		const lookedAt = lookedForAt.get(failureDomain) ?? -Infinity
		if (clock.now() - lookedAt < RETRY_MS) return
		lookedForAt.set(failureDomain, clock.now())
		void deps.canReachExecutors(failureDomainOf(failureDomain)).then(canReach => {
			if (!canReach) reachableSince.delete(failureDomain)
			else if (!reachableSince.has(failureDomain)) reachableSince.set(failureDomain, clock.now())
		})
	}

	function mustWaitMs(failureDomain: string, claim: Claim | undefined): number {
		const isOwn = failureDomainOf(failureDomain) === self.failureDomain
		const natives = view.membersOf(failureDomain).filter(isAnother(claim?.placer))
		const candidates = isOwn ? natives : view.members().filter(isAnother(claim?.placer))
		const isDivided = view.sliceCount(failureDomain) > 1
		const rank = isOwn && isDivided ? rankForSlice(candidates) : rankOf(candidates)
		const ranked = rank * RANK_STEP_MS
		const isGone = !claim || isFollowed(claim.placer)
		if (isOwn) return ranked + (isGone ? 0 : silenceLimitMs(deps, claim.placer))
		if (natives.length > 0) return Infinity
		return ranked + FOREIGN_SILENT_MS + (claim ? 0 : START_GRACE_MS)
	}

	const isAnother = (placer: Member | undefined) => (member: Member) =>
		member.session !== placer?.session

	/** Then nobody else can be the placer, and nobody needs to be asked: each question costs time just after a loss of all. */
	function isOwnEarlierLife(claim: Claim | undefined): boolean {
		return claim?.placer.name === self.name && claim.placer.session !== self.session
	}

	/** Whether it is rather us who is cut off: nobody else answers either. */
	async function isIsolated(placer: Member | undefined): Promise<boolean> {
		const others = view.members().filter(isAnother(placer)).filter(isAnother(self))
		if (others.length === 0) return false
		const answers = others
			.slice(0, WITNESSES)
			.map(async other => (await deps.ping(other, latenessAllowanceMs(deps, other))) !== undefined)
		return !(await isAnyTrue(answers))
	}

	async function consider(failureDomain: string) {
		const claim = view.claimOf(failureDomain)
		if (claim?.placer.session === self.session) return
		const isOwn = failureDomainOf(failureDomain) === self.failureDomain
		// One instance of each failure domain watches the others: any cut leaves one on each side.
		if (!isOwn && rankOf(view.membersOf(self.failureDomain)) > 0) return
		const waitMs = mustWaitMs(failureDomain, claim)
		const vacant = vacantMs(failureDomain, claim)
		// Looked at from the first silence on, so that this wait and the others run at the same time.
		const isForeignInReach =
			!isOwn && isForeignVacant(claim, vacant) && isLongInReach(failureDomain)
		if (!isOwnEarlierLife(claim) && vacant < waitMs) return
		if (clock.now() - (triedAt.get(failureDomain) ?? -Infinity) < RETRY_MS) return
		triedAt.set(failureDomain, clock.now())
		if (!isOwnEarlierLife(claim)) {
			if (claim && (await isAlive(claim.placer))) {
				reachableSince.delete(failureDomain)
				return
			}
			if (await isIsolated(claim?.placer)) return noteHeldBack(failureDomain, "nobody answers us")
		}
		if (!isOwn && !isForeignInReach)
			return noteHeldBack(failureDomain, "its executors were not in reach for long enough")
		await write(failureDomain, claim?.fence, `no word for ${Math.round(vacant)} ms`)
	}

	function isForeignVacant(claim: Claim | undefined, vacant: number): boolean {
		return vacant > PLACER_SILENT_MS && (!claim || isSilentWhenAsked(claim))
	}

	function noteHeldBack(failureDomain: string, cause: string) {
		metrics.count("claims", "held_back")
		const fields = {failureDomain, cause}
		log.event("fleet", "claim_held_back", "fleet: does not take a failure domain over.", fields)
	}

	/** Writes the next claim if the one in the store is still the one that was judged. */
	async function write(
		failureDomain: string,
		judgedFence: number | undefined,
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
		// No slice has a fence at its floor: nobody has claimed it.
		const floor = fenceFloorOf(failureDomain)
		const fence = known?.fence ?? floor
		if (fence !== (judgedFence ?? floor)) return false
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

	/** Until the next look is due, or somebody asks for one. */
	function pause(): Promise<void> {
		return new Promise(resolve => {
			wake = resolve
			clock.schedule(TICK_MS, resolve)
		})
	}

	async function loop() {
		while (!isClosed) {
			await pause()
			if (deps.isLeaving()) continue
			for (const failureDomain of deps.failureDomains()) {
				if (!isClosed) await consider(failureDomain)
			}
		}
	}

	void loop()
	return {
		claimNow(failureDomain, fence) {
			if (!knowsSlicesBefore(view, failureDomain)) {
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
