/**
 * Kept jobs of all kinds under drawn faults, in virtual time: three failure domains with three executors each, whose placers
 * are killed and replaced, executors that are cut off, crash, fail all they start or leave, a store that goes away or loses
 * answers, and queues that are dropped. A seed says everything.
 */
import {createJobMetrics, silentLog, type Claim, type ExecutorRecord} from "@cottonwood/jobs"
import {
	claimKey,
	createKeptJobService,
	isJobRecord,
	type Keeper,
	type KeptJobRequest,
	type KeptJobServiceDeps,
	type Placer,
} from "@cottonwood/jobs/internals"
import type {TransactionalStore} from "@cottonwood/core"
import {
	between,
	createRandom,
	drawJob,
	drawOutcomes,
	MAX_ATTEMPTS,
	pick,
	RARE_LABEL,
} from "./drawn-jobs.js"
import {createFakeClock} from "./fake-clock.js"
import {record} from "./fake-executors.js"
import {createFakeStore} from "./fake-store.js"
import {judge, type CallerView} from "./kept-verdict.js"
import {ModelFleet, type HistoryEvent} from "./model-executors.js"
import {createTestPlacer} from "./placers.js"
import {LEASE_RULE, QUEUE} from "./requests.js"

const DOMAINS = ["a", "b", "c"]
const EXECUTORS_PER_DOMAIN = 3
const JOBS = 14
/** Faults and calls come until then; after it all is calm. */
const TROUBLE_MS = 16_000
const CALM_MS = 22_000
const CANCELLED_SHARE = 0.12
const ENTRY_TTL_MS = 4_500

export const FAULTS = [
	"kill placer",
	"kill placer at a write",
	"cut executor",
	"crash executor",
	"failing executor",
	"leave without a word",
	"store away",
	"lost answers",
	"drop queue",
] as const
export type Fault = (typeof FAULTS)[number]

interface Hosted {
	claim: Claim
	keeper: Keeper
	placer: Placer
}

export interface KeptPlay {
	readonly breaks: readonly string[]
	readonly calls: readonly CallerView[]
	readonly history: readonly HistoryEvent[]
	readonly starts: number
	readonly states: Readonly<Record<string, number>>
}

/** Plays one seed; `faults` are drawn from, `count` of them. */
export async function playKeptJobs(
	seed: number,
	faults: readonly Fault[],
	count: number,
	log = silentLog,
): Promise<KeptPlay> {
	const random = createRandom(seed)
	const clock = createFakeClock()
	const {fake, store: kept} = createFakeStore()
	/** Placers to kill as soon as a write of theirs is done, before they learn of it. */
	let killsAtWrites = 0
	const store: TransactionalStore = {
		...kept,
		async transact(transaction) {
			const result = await kept.transact(transaction)
			const home = transaction.puts.map(({value}) => value).find(isJobRecord)?.home
			if (result.type === "done" && home !== undefined && killsAtWrites > 0) {
				killsAtWrites--
				killPlacer(home)
			}
			return result
		},
	}
	const jobs = new Map<string, KeptJobRequest>()
	const fleet = new ModelFleet(clock, drawOutcomes(seed, jobs))
	const common = {clock, log, metrics: createJobMetrics()}
	const listed = new Map<string, ExecutorRecord[]>(DOMAINS.map(domain => [domain, []]))
	const hosted = new Map<string, Hosted>()
	const claims = new Map<string, Claim>()
	const dropped = new Set<string>()
	let lives = 0

	const queueOf = (name: string) =>
		dropped.has(name) ? undefined : {...QUEUE, name, maxAttempts: MAX_ATTEMPTS}
	const view = {
		claims: () => [...claims.values()],
		claimOf: (domain: string) => claims.get(domain),
		isLeaving: () => false,
		roomOf: () => undefined,
		noteUnreachable: () => undefined,
		noteGone: () => undefined,
	}
	const peers = {
		kept: () => ({
			reply: Promise.resolve(undefined),
			wasUnsent: () => true,
			wasRefused: () => true,
		}),
	}
	const service = createKeptJobService({
		...common,
		store,
		peers: peers as unknown as KeptJobServiceDeps["peers"],
		view: view as unknown as KeptJobServiceDeps["view"],
		hosts: {of: (name: string) => hosted.get(name)} as unknown as KeptJobServiceDeps["hosts"],
		leaseRule: LEASE_RULE,
		storeWritesPerSecond: 400,
		endedStateMs: 120_000,
		failureDomains: DOMAINS,
		candidates: () => [...claims.values()].filter(({failureDomain}) => hosted.has(failureDomain)),
		queueOf,
		isConfigured: () => true,
		executorsOf: name => listed.get(name) ?? [],
	})

	function beginPlacing(failureDomain: string) {
		const fence = (claims.get(failureDomain)?.fence ?? 0) + 1
		const name = `${failureDomain}-${fence}`
		const placer = {name, session: name, failureDomain, address: "n:1", cpuShare: 1}
		const claim: Claim = {failureDomain, fence, placer}
		claims.set(failureDomain, claim)
		fake.write(claimKey(failureDomain), claim)
		const keeper = service.createKeeper(claim, () => undefined)
		const own = createTestPlacer({
			...common,
			orders: fleet,
			failureDomain,
			fence,
			knowsAllExecutors: false,
			kept: keeper,
		})
		hosted.set(failureDomain, {claim, keeper, placer: own})
		keeper.begin(own)
		own.setExecutors(listed.get(failureDomain) as ExecutorRecord[])
	}

	function killPlacer(failureDomain: string) {
		const known = hosted.get(failureDomain)
		if (!known) return
		hosted.delete(failureDomain)
		known.keeper.close()
		known.placer.close()
		clock.schedule(between(random, 100, 1_200), () => beginPlacing(failureDomain))
	}

	function list(domain: string, change: (records: ExecutorRecord[]) => ExecutorRecord[]) {
		const records = change(listed.get(domain) as ExecutorRecord[])
		listed.set(domain, records)
		hosted.get(domain)?.placer.setExecutors(records)
	}

	function addExecutor(domain: string, labels: readonly string[]) {
		const executor = record(`${domain}-${++lives}`, {failureDomain: domain, labels})
		fleet.add(executor)
		list(domain, records => [...records, executor])
	}

	const unlist = ({id, failureDomain}: ExecutorRecord) =>
		list(failureDomain, records => records.filter(other => other.id !== id))

	/** Calls `change` once, and `undo` after some seconds. */
	function during(leastMs: number, mostMs: number, change: () => void, undo: () => void) {
		change()
		clock.schedule(between(random, leastMs, mostMs), undo)
	}

	const drawExecutor = () => pick(random, listed.get(pick(random, DOMAINS)) as ExecutorRecord[])

	function beginFault(fault: Fault) {
		const executor = drawExecutor()
		const model = executor && fleet.of(executor.id)
		if (fault === "kill placer") return killPlacer(pick(random, DOMAINS))
		if (fault === "kill placer at a write") return void killsAtWrites++
		if (fault === "store away")
			return during(
				500,
				4_500,
				() => void (fake.isAway = true),
				() => void (fake.isAway = false),
			)
		if (fault === "lost answers") {
			const ways = ["lost", "done but not answered", "refused"] as const
			fake.faults = Array.from({length: between(random, 1, 12)}, () => pick(random, ways))
			return
		}
		if (fault === "drop queue") {
			const queue = pick(random, ["orders", "others"])
			return during(
				1_000,
				6_000,
				() => dropped.add(queue),
				() => dropped.delete(queue),
			)
		}
		if (!executor || !model || model.gone) return
		if (fault === "cut executor")
			return during(
				300,
				5_500,
				() => void (model.isCut = true),
				() => void (model.isCut = false),
			)
		if (fault === "failing executor")
			return during(
				2_000,
				6_500,
				() => void (model.failsAll = true),
				() => void (model.failsAll = false),
			)
		if (fault === "crash executor") {
			fleet.crash(executor.id, "refusing")
			clock.schedule(ENTRY_TTL_MS, () => unlist(executor))
		} else {
			unlist(executor)
			clock.schedule(between(random, 2_000, 4_000), () => fleet.crash(executor.id, "refusing"))
		}
		clock.schedule(ENTRY_TTL_MS, () => addExecutor(executor.failureDomain, executor.labels))
	}

	interface Call {
		readonly request: KeptJobRequest
		acceptedAt: number | undefined
		cancelledAt: number | undefined
		mayBeAccepted: boolean
	}
	const calls: Call[] = []

	/** Hands a job in until it is accepted, as callers do that come back. */
	async function handIn(call: Call) {
		while (call.acceptedAt === undefined && clock.now() < TROUBLE_MS + 4_000) {
			const {type} = await service.front.accept(call.request)
			if (type !== "refused") call.mayBeAccepted = true
			if (type === "accepted") call.acceptedAt = clock.now()
			else await clock.sleep(1_300)
		}
	}

	async function cancel(call: Call) {
		while (call.cancelledAt === undefined) {
			const outcome = await service.front.cancel(call.request.id)
			if (outcome !== "unknown") call.cancelledAt = clock.now()
			else await clock.sleep(700)
		}
	}

	for (const domain of DOMAINS)
		for (let at = 0; at < EXECUTORS_PER_DOMAIN; at++)
			addExecutor(domain, domain === "c" && at === 0 ? [RARE_LABEL] : [])
	for (const domain of DOMAINS) beginPlacing(domain)
	await clock.advance(2_500)
	for (let at = 0; at < JOBS; at++) {
		const request = drawJob(random, (0xab0000 + seed * 100 + at).toString(16).padStart(16, "0"))
		jobs.set(request.id, request)
		const call: Call = {
			request,
			acceptedAt: undefined,
			cancelledAt: undefined,
			mayBeAccepted: false,
		}
		calls.push(call)
		const atMs = between(random, 0, 9_000)
		clock.schedule(atMs, () => void handIn(call))
		if (random() < CANCELLED_SHARE)
			clock.schedule(
				atMs + between(random, 500, 6_000),
				() => call.acceptedAt !== undefined && void cancel(call),
			)
	}
	for (let at = 0; at < count; at++) {
		const fault = pick(random, faults)
		clock.schedule(between(random, 500, TROUBLE_MS - 4_000), () => beginFault(fault))
	}
	await clock.advance(TROUBLE_MS + CALM_MS)
	const views: CallerView[] = []
	for (const {request, acceptedAt, cancelledAt, mayBeAccepted} of calls) {
		const asked = service.front.stateOf(request.id)
		await clock.advance(50)
		const state = acceptedAt === undefined && !mayBeAccepted ? "refused" : await asked
		views.push({request, acceptedAt, cancelledAt, state, service: QUEUE.service})
	}
	service.close()
	for (const {keeper, placer} of hosted.values()) {
		keeper.close()
		placer.close()
	}
	const breaks = judge({
		calls: views,
		history: fleet.history,
		maxAttempts: MAX_ATTEMPTS,
		until: clock.now(),
	})
	const states: Record<string, number> = {}
	for (const {state} of views) states[state] = (states[state] ?? 0) + 1
	const {history} = fleet
	const starts = history.filter(({type}) => type === "start").length
	return {breaks, calls: views, history, starts, states}
}
