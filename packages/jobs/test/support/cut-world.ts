/**
 * Two failure domains in virtual time, each with a side of its own: placers, executors, a view of the store and a clock that can
 * be frozen. The first one is lost, or cut off with the placers at work, and a placer of the other side takes over what it had.
 */
import {createJobMetrics, silentLog, type Claim, type ExecutorRecord} from "@cottonwood/jobs"
import {
	claimKey,
	createKeptJobService,
	type Keeper,
	type KeptJobRequest,
	type KeptJobServiceDeps,
	type Placer,
} from "@cottonwood/jobs/internals"
import type {Clock, TransactionalStore} from "@cottonwood/core"
import {createFakeClock, type FakeClock} from "./fake-clock.js"
import {record} from "./fake-executors.js"
import {createFakeStore} from "./fake-store.js"
import {judge, type CallerView} from "./kept-verdict.js"
import {ModelFleet, type Outcome} from "./model-executors.js"
import {createTestPlacer} from "./placers.js"
import {step} from "./records.js"
import {LEASE_RULE, QUEUE, taskRequest} from "./requests.js"

/** The side that is lost or cut off, and the other one. */
export type Side = "lost" | "other"
const SIDES = ["lost", "other"] as const

export interface CutWorldOptions {
	/** The homes of the side that is lost: its failure domain, or that and slices of it. */
	readonly lostHomes?: readonly string[]
	readonly executorsPerHome?: number
	readonly outcomeOf?: (task: string, run: number) => Outcome
	readonly maxAttempts?: number
	/** How long after it was lost on a cut an order is carried out nevertheless, in milliseconds; undefined: never. */
	readonly lateMs?: () => number | undefined
}

const NEIGHBOUR_NEED = {cpu: 1_000, memoryMb: 1, accelerators: 0}
/** The job of a caller that need not be kept. */
const NEIGHBOUR = {
	id: "00000000000000ff",
	queue: "orders",
	spec: "",
	steps: [step({isLasting: true, need: NEIGHBOUR_NEED})],
}
const NEIGHBOURS: CallerView = {
	request: NEIGHBOUR,
	acceptedAt: undefined,
	cancelledAt: undefined,
	state: "",
	service: QUEUE.service,
}
const ignore = () => undefined

interface Hosted {
	readonly claim: Claim
	readonly keeper: Keeper
	readonly placer: Placer
	readonly side: Side
}

/** The clock of a side: while it is frozen no timer fires, and what has come waits. */
function createSideClock(clock: FakeClock) {
	let frozenUntil = -Infinity
	const schedule: Clock["schedule"] = (ms, callback) => {
		let cancel = clock.schedule(ms, fire)
		function fire() {
			if (clock.now() >= frozenUntil) return callback()
			cancel = clock.schedule(frozenUntil - clock.now(), fire)
		}
		return () => cancel()
	}
	const sleep = (ms: number) => new Promise<void>(resolve => void schedule(ms, resolve))
	return {
		now: () => clock.now(),
		wallNow: () => clock.now(),
		schedule,
		sleep,
		freeze(ms: number) {
			frozenUntil = clock.now() + ms
		},
		/** What has come is seen once the side is no longer frozen. */
		async see<T>(answer: Promise<T>): Promise<T> {
			const value = await answer
			while (clock.now() < frozenUntil) await clock.sleep(frozenUntil - clock.now())
			return value
		},
	}
}

export type CutWorld = ReturnType<typeof createCutWorld>

export function createCutWorld(options: CutWorldOptions = {}) {
	const {lostHomes = ["a"], executorsPerHome = 2, maxAttempts = 2} = options
	const outcomeOf = options.outcomeOf ?? (() => ({how: "done", afterMs: 1_000}) as const)
	const clock = createFakeClock()
	const {fake, store: whole} = createFakeStore()
	const fleet = new ModelFleet(clock, (name, run) =>
		name.startsWith(NEIGHBOUR.id)
			? {how: "failed", afterMs: Infinity, isLasting: true}
			: outcomeOf(name, run),
	)
	const sides = {lost: createSideClock(clock), other: createSideClock(clock)}
	const homes: Readonly<Record<Side, readonly string[]>> = {lost: lostHomes, other: ["b"]}
	/** Whether the lost side is cut off from the other one, and from the store. */
	const cut = {fromOther: false, fromStore: false, fromExecutors: new Set<string>()}
	const hosted = new Map<string, Hosted>()
	/** The executors of each home, as listed at each side. */
	const listed = {lost: new Map(), other: new Map()} as Record<Side, Map<string, ExecutorRecord[]>>
	const claims = new Map<string, Claim>()
	let lives = 0

	const sideOf = (home: string): Side => (lostHomes.includes(home) ? "lost" : "other")
	const isOut = (side: Side, at: string) =>
		(cut.fromOther && side !== sideOf(at)) || (side === "lost" && cut.fromExecutors.has(at))

	/** Sends an order of a side to an executor, unless either way is cut. */
	async function order<T>(
		side: Side,
		executor: ExecutorRecord,
		timeoutMs: number,
		send: () => Promise<T>,
	) {
		const silent = {type: "silent", cause: "cut"} as const
		const isLost = () =>
			isOut(side, executor.failureDomain) || cut.fromExecutors.has(`${side}>${executor.id}`)
		if (isLost()) {
			const lateMs = options.lateMs?.()
			if (lateMs !== undefined) clock.schedule(lateMs, () => void send())
			await sides[side].sleep(timeoutMs)
			return silent
		}
		const answer = await sides[side].see(send())
		return isLost() ? silent : answer
	}

	const ordersOf = (side: Side) =>
		({
			maxListedEnds: fleet.maxListedEnds,
			start: (executor, item, ms) =>
				order(side, executor, ms, () => fleet.start(executor, item, ms)),
			stop: (executor, item, ms) => order(side, executor, ms, () => fleet.stop(executor, item, ms)),
			hold: (executor, item, ms) => order(side, executor, ms, () => fleet.hold(executor, item, ms)),
			isReachable: executor => Promise.resolve(!isOut(side, executor.failureDomain)),
			forget: () => undefined,
		}) satisfies ModelFleetOrders
	type ModelFleetOrders = Pick<
		ModelFleet,
		"maxListedEnds" | "start" | "stop" | "hold" | "isReachable" | "forget"
	>

	function storeOf(side: Side): TransactionalStore {
		const {see, sleep} = sides[side]
		const isAway = () => fake.isAway || (side === "lost" && cut.fromStore)
		let silentSince: number | undefined
		/** The answer of a call; `without` when it or the call is lost. */
		async function call<T>(send: () => Promise<T>, without: T): Promise<T> {
			const wasAway = isAway()
			const answer = wasAway ? sleep(300).then(() => without) : send()
			const seen = await see(answer)
			const isLost = wasAway || isAway()
			silentSince = isLost ? (silentSince ?? clock.now()) : undefined
			return isLost ? without : seen
		}
		return {
			...whole,
			get: key => call(() => whole.get(key), undefined),
			list: prefix => call(() => whole.list(prefix), undefined),
			transact: transaction => call(() => whole.transact(transaction), {type: "unknown"}),
			silentMs: () => (silentSince === undefined ? 0 : clock.now() - silentSince),
		}
	}

	const view = {
		claims: () => [...claims.values()],
		claimOf: (home: string) => claims.get(home),
		isLeaving: () => false,
		roomOf: () => undefined,
		noteUnreachable: () => undefined,
		noteGone: () => undefined,
	}

	function createService(side: Side) {
		const at = (home: string) => {
			const host = hosted.get(`${side}:${home}`)
			return host
		}
		return createKeptJobService({
			clock: sides[side],
			log: silentLog,
			metrics: createJobMetrics(),
			store: storeOf(side),
			peers: {
				kept: () => ({
					reply: Promise.resolve(undefined),
					wasUnsent: () => true,
					wasRefused: () => true,
				}),
			} as unknown as KeptJobServiceDeps["peers"],
			view: view as unknown as KeptJobServiceDeps["view"],
			hosts: {of: at} as unknown as KeptJobServiceDeps["hosts"],
			leaseRule: LEASE_RULE,
			storeWritesPerSecond: 400,
			endedStateMs: 120_000,
			failureDomains: [...claims.keys()],
			candidates: () => [...claims.values()].filter(({failureDomain}) => at(failureDomain)),
			queueOf: name => ({...QUEUE, name, maxAttempts}),
			isConfigured: () => true,
			executorsOf: home => listed[side].get(home) ?? [],
		})
	}
	const services = {lost: createService("lost"), other: createService("other")}

	function endPlacing(side: Side, home: string, fence: number) {
		const host = hosted.get(`${side}:${home}`)
		if (!host || host.claim.fence !== fence) return
		hosted.delete(`${side}:${home}`)
		host.keeper.close()
		host.placer.relinquish()
	}

	/** Writes the next claim of a home and begins to place it on a side. */
	function beginPlacing(side: Side, home: string, isCutOff = false) {
		const fence = (claims.get(home)?.fence ?? 0) + 1
		const session = `${side}-${home}-${fence}`
		const placer = {name: side, session, failureDomain: home, address: "n:1", cpuShare: 1}
		const claim: Claim = {failureDomain: home, fence, placer}
		claims.set(home, claim)
		fake.write(claimKey(home), claim)
		const onDeposed = () => endPlacing(side, home, fence)
		const keeper = services[side].createKeeper(claim, onDeposed)
		const own = createTestPlacer({
			clock: sides[side],
			orders: ordersOf(side),
			failureDomain: home,
			fence,
			knowsAllExecutors: fence === 1,
			isCutOff,
			kept: keeper,
			onFenced: onDeposed,
		})
		hosted.set(`${side}:${home}`, {claim, keeper, placer: own, side})
		keeper.begin(own)
		own.setExecutors(listed[side].get(home) ?? [])
	}

	function list(side: Side, home: string, records: ExecutorRecord[]) {
		listed[side].set(home, records)
		hosted.get(`${side}:${home}`)?.placer.setExecutors(records)
	}

	function addExecutor(home: string) {
		const executor = record(`${home}-${++lives}`, {failureDomain: home})
		fleet.add(executor)
		for (const side of SIDES) list(side, home, [...(listed[side].get(home) ?? []), executor])
	}

	for (const side of SIDES)
		for (const home of homes[side]) for (let at = 0; at < executorsPerHome; at++) addExecutor(home)
	for (const side of SIDES) for (const home of homes[side]) beginPlacing(side, home)

	return {
		clock,
		fake,
		fleet,
		cut,
		services,
		freeze: (side: Side, ms: number) => sides[side].freeze(ms),
		/** Runs a task on each executor of a home of the lost side that its caller goes on wanting, for as long as its placer is at work. */
		startNeighbours(home: string, count: number) {
			for (let at = 0; at < count; at++) {
				const req = taskRequest(`${NEIGHBOUR.id}.0.0.${home}-${at}`, {
					need: NEIGHBOUR_NEED,
					maxPerExecutor: 1,
					isLasting: true,
				})
				hosted.get(`lost:${home}`)?.placer.submit(req, ignore, ignore)
			}
		},
		neighboursRunning: () =>
			fleet.history
				.filter(({type}) => type === "start" || type === "end")
				.map(event => ("task" in event && event.task.startsWith(NEIGHBOUR.id) ? event.type : ""))
				.reduce((count, type) => count + (type === "start" ? 1 : type === "end" ? -1 : 0), 0),
		placerOf: (side: Side, home: string) => hosted.get(`${side}:${home}`)?.placer,
		keeperOf: (side: Side, home: string) => hosted.get(`${side}:${home}`)?.keeper,
		/** Cuts the lost side off from everybody else, or heals the cut. */
		setCut(isCut: boolean) {
			cut.fromOther = isCut
			cut.fromStore = isCut
		},
		/** Ends the placers and executors of the lost side. */
		loseSide() {
			for (const home of lostHomes) {
				hosted.get(`lost:${home}`)?.keeper.close()
				hosted.get(`lost:${home}`)?.placer.close()
				hosted.delete(`lost:${home}`)
				for (const {id} of listed.lost.get(home) ?? []) fleet.crash(id, "refusing")
				listed.lost.set(home, [])
			}
		},
		/** Takes over the homes of the lost side, as when none of their executors answers. */
		takeOver() {
			for (const home of lostHomes) beginPlacing("other", home, true)
		},
		/** The entries of the lost side's executors lapse at the other one, or are back there. */
		listLost(records: "none" | "all") {
			for (const home of lostHomes)
				list("other", home, records === "all" ? [...(listed.lost.get(home) ?? [])] : [])
		},
		addExecutor,
		runsOf: (task: string) =>
			fleet.history.filter(event => event.type === "start" && event.task === task),
		runningAt(task: string) {
			const ended = (executor: string, run: number) =>
				fleet.history.some(
					event =>
						event.type === "end" &&
						event.task === task &&
						event.executor === executor &&
						event.run === run,
				)
			return fleet.history.flatMap(event =>
				event.type === "start" && event.task === task && !ended(event.executor.id, event.run)
					? [event.executor.id]
					: [],
			)
		},
		async breaks(
			requests: readonly {
				readonly request: KeptJobRequest
				readonly acceptedAt: number | undefined
			}[],
		) {
			const calls: CallerView[] = []
			for (const {request, acceptedAt} of requests) {
				const asked = services.other.front.stateOf(request.id)
				await clock.advance(50)
				const state = await asked
				calls.push({request, acceptedAt, cancelledAt: undefined, state, service: QUEUE.service})
			}
			const {history} = fleet
			calls.push(NEIGHBOURS)
			return judge({calls, history, maxAttempts, until: clock.now()})
		},
		close() {
			for (const {keeper, placer} of hosted.values()) {
				keeper.close()
				placer.close()
			}
			for (const side of SIDES) services[side].close()
		},
	}
}
