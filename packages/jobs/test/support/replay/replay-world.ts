/**
 * Failure domains in virtual time: one placer each, driven by the real decisions, with links between them, executors, and
 * callers that wait for one answer.
 */
import {
	createJobMetrics,
	silentLog,
	type Heartbeat,
	type Claim,
	type ExecutorRecord,
	type Job,
	type JobEnd,
	type Member,
	type Queue,
	type Caller,
	type Room,
} from "@cottonwood/jobs"
import {
	createHeartbeats,
	createDispatcher,
	createFleetView,
	createHostedPlacers,
	createOverflow,
	borrowableCoresOf,
	createWholeJobMoves,
	type Heartbeats,
	type Dispatcher,
	type HostedPlacers,
	type JobReply,
	type Keeper,
	type PeerCall,
	type Peers,
	type SpeedStore,
	type TaskReply,
} from "@cottonwood/jobs/internals"
import {LEASE_RULE, NO_ADVISOR, NO_KEPT_RUNS, STAYING} from "../requests.js"
import type {ReplayClock} from "./replay-clock.js"
import {createReplayOrders, ReplayExecutor} from "./replay-executor.js"
import type {ReplayJob} from "./replay-load.js"
import {queuesOf, type ReplayWork} from "./replay-work.js"

/** One-way latency between two instances, with processing on both sides. */
const PEER_LATENCY_MS = 1.2
/** One-way latency between a caller and its instance. */
const CALLER_LATENCY_MS = 3.5
const DEADLINE_MS = 1_500
/** Interval of a call's confirmations. */
const CONFIRM_MS = 100
const CONFIG_VERSION = 1
/** Prefix of a failure domain's name in the id of the instance that its callers reach. */
const ENTRY_PREFIX = "entry:"

export type ReplayShares = Readonly<
	Record<string, {readonly weight?: number; readonly floor?: number}>
>

export interface ReplayWorldOptions {
	readonly work: ReplayWork
	readonly failureDomains: readonly string[]
	readonly executorsPerDomain: number
	readonly clock: ReplayClock
	readonly random: () => number
	/** Creates the store of a domain's executor speeds; without it each placer learns for itself. */
	readonly openSpeedStore?: (clock: ReplayClock, executors: readonly ReplayExecutor[]) => SpeedStore
	/** Jobs are judged by forecasts. */
	readonly isForecasting?: boolean
	/** Weights and floors, by kind. */
	readonly shares?: ReplayShares
	/**
	 * Whole jobs move to where they are forecast to start this much sooner, in milliseconds; undefined: only single tasks
	 * leave their domain.
	 */
	readonly crossDomainMs?: number
	/** Callers reach an instance of their domain that places nothing, as with many instances. */
	readonly hasEntries?: boolean
}

export interface ReplayWorld {
	readonly executors: readonly ReplayExecutor[]
	/** Submits a job at its domain's instance; resolves with its end and the time to its answer. */
	submit(job: ReplayJob): Promise<{readonly end: JobEnd; readonly tookMs: number}>
	/** Cuts the links between this domain and the others, or restores them. */
	setCut(failureDomain: string, isCut: boolean): void
	/** Starts or ends a domain's evacuation. */
	setEvacuated(failureDomain: string, isEvacuated: boolean): void
	/** Adds an executor to its domain's list, or removes it. */
	setListed(executor: ReplayExecutor, isListed: boolean): void
	/** Restarts an executor with a new id in the same domain. */
	replace(executor: ReplayExecutor): ReplayExecutor
	counters(): Promise<string>
	/** Tasks that ran twice at once. */
	readonly doubled: readonly string[]
}

interface Instance {
	readonly self: Member
	readonly hosts: HostedPlacers
	readonly beats: Heartbeats
	readonly dispatcher: Dispatcher
}

export function createReplayWorld(options: ReplayWorldOptions): ReplayWorld {
	const {clock, failureDomains, random, work, openSpeedStore} = options
	const queues = queuesOf(work)
	const queueOf = (name: string) => queues.find(queue => queue.name === name) as Queue
	const evacuated = new Set<string>()
	const metrics = createJobMetrics()
	const running = new Map<string, number>()
	const doubled: string[] = []
	const judge = {
		begin(task: string) {
			const count = (running.get(task) ?? 0) + 1
			running.set(task, count)
			if (count > 1) doubled.push(task)
		},
		end(task: string) {
			running.set(task, (running.get(task) ?? 1) - 1)
		},
	}
	const executors: ReplayExecutor[] = []
	const byId = new Map<string, ReplayExecutor>()
	const listed = new Set<ReplayExecutor>()
	const cut = new Set<string>()
	const instances = new Map<string, Instance>()
	let serial = 0

	function addExecutor(failureDomain: string, kind: number): ReplayExecutor {
		const record: ExecutorRecord = {
			id: `e${++serial}`,
			service: "svc",
			address: `e${serial}:1`,
			failureDomain,
			capacity: {cpu: work.roomCpu[kind] as number, memoryMb: 1e6, accelerators: 0},
			labels: [],
			rack: undefined,
			isLeaving: false,
		}
		const executor = new ReplayExecutor(record, clock, random, judge)
		executor.setFault({slowness: work.slowness[kind]})
		executors.push(executor)
		byId.set(record.id, executor)
		listed.add(executor)
		return executor
	}
	failureDomains.forEach((failureDomain, domain) => {
		for (let at = 0; at < options.executorsPerDomain; at++)
			addExecutor(failureDomain, (at + domain) % work.roomCpu.length)
	})

	const recordsOf = (failureDomain: string) =>
		[...listed].map(({record}) => record).filter(record => record.failureDomain === failureDomain)
	const tellList = (failureDomain: string) =>
		instances.get(failureDomain)?.hosts.setExecutors(recordsOf(failureDomain))

	const domainOf = (instance: string) => instance.replace(ENTRY_PREFIX, "")
	const isApart = (from: string, to: string) => {
		const [a, b] = [domainOf(from), domainOf(to)]
		return a !== b && (cut.has(a) || cut.has(b))
	}

	/** A call over a link, which carries nothing while either side is cut off. */
	function call<T>(
		from: string,
		to: string,
		timeoutMs: number,
		confirmedAt: () => number,
		run: (instance: Instance, caller: Caller) => Promise<T>,
	): PeerCall<T> {
		const listeners: (() => void)[] = []
		const madeAt = clock.now()
		let heardAt = confirmedAt()
		let isOver = false

		/** Confirms the call to the other side again and again. */
		function confirm() {
			if (isOver) return
			if (!isApart(from, to)) heardAt = confirmedAt()
			clock.schedule(CONFIRM_MS, confirm)
		}

		const caller: Caller = {
			onCancel: listener => void listeners.push(listener),
			madeAt,
			confirmedAt: () => heardAt,
		}
		clock.schedule(CONFIRM_MS, confirm)
		const reply = new Promise<T | undefined>(resolve => {
			const settle = (value: T | undefined) => {
				isOver = true
				resolve(value)
			}
			clock.schedule(timeoutMs, () => settle(undefined))
			clock.schedule(PEER_LATENCY_MS, () => {
				const instance = instances.get(to)
				if (!instance || isApart(from, to)) return
				void run(instance, caller).then(value => {
					if (isApart(from, to)) return
					clock.schedule(PEER_LATENCY_MS, () => settle(value))
				})
			})
		})
		const cancel = () => {
			if (isOver) return
			clock.schedule(PEER_LATENCY_MS, () => {
				if (!isApart(from, to)) for (const listener of listeners) listener()
			})
		}
		return {reply, wasUnsent: () => false, wasRefused: () => false, cancel}
	}

	const instanceAt = (address: string) => address.split("-")[0] as string
	const unused = () => {
		throw new Error("not used")
	}

	function addInstance(failureDomain: string, id: string = failureDomain) {
		const self: Member = {
			name: `${id}-1`,
			session: `${id}-s`,
			failureDomain,
			address: `${id}-1:1`,
			cpuShare: 0.675,
		}
		const peers: Peers = {
			beat: () => Promise.resolve(undefined),
			runJob: (address, message, timeoutMs, confirmedAt) =>
				call<JobReply>(id, instanceAt(address), timeoutMs, confirmedAt, (instance, caller) =>
					instance.dispatcher.runJob(message, caller),
				),
			runTask: (address, message, timeoutMs, confirmedAt) =>
				call<TaskReply>(id, instanceAt(address), timeoutMs, confirmedAt, (instance, caller) =>
					instance.dispatcher.runTask(message, caller),
				),
			takeOver: unused,
			kept: unused,
			noteReachable: () => undefined,
			unansweredMs: () => 0,
			close: () => undefined,
		}
		const view = createFleetView(clock, claim => hosts.noteClaim(claim))
		const leaseRule = LEASE_RULE
		const parts = {clock, leaseRule, log: silentLog, metrics, self, peers, view}
		const isEvacuated = (domain: string) => evacuated.has(domain)
		const {crossDomainMs} = options
		const domainChoice = crossDomainMs === undefined ? "own" : "forecast"
		const {rooms, ...wholeJobs} = createWholeJobMoves(
			{...parts, isEvacuated},
			{domainChoice, crossDomainMs: crossDomainMs ?? 0},
		)
		const common = {...parts, rooms}
		const overflow = createOverflow(common)
		const keeper = {
			...NO_KEPT_RUNS,
			begin: () => undefined,
			close: () => undefined,
			jobCount: () => 0,
		} as unknown as Keeper
		const hosts: HostedPlacers = createHostedPlacers({
			...common,
			orders: createReplayOrders(byId),
			advisor: NO_ADVISOR,
			stopGraceMs: 50,
			handOver: item => overflow.handOver(item),
			onRoomChange: () => beats?.noteRoomChange(),
			createKeeper: () => keeper,
			executorsOf: recordsOf,
			isEvacuated,
			openSpeedStore: openSpeedStore && (() => openSpeedStore(clock, executors)),
			forecasting: options.isForecasting
				? {
						borrowableCores: () => borrowableCoresOf(view, self, clock.now()),
						queues: () => queues.map(queue => ({...queue, ...options.shares?.[queue.name]})),
					}
				: undefined,
			...wholeJobs,
		})
		const ownBeat = (): Heartbeat => ({
			from: self,
			claims: view.claims(),
			rooms: hosts.rooms(),
			isLeaving: false,
			configVersion: CONFIG_VERSION,
		})
		function takeBeat(beat: Heartbeat) {
			view.applyHeartbeat(beat)
			if (Object.values(beat.rooms).some((room: Room) => room.freeCpu.length > 0))
				hosts.placeWaiting()
		}
		const dispatcher = createDispatcher({
			...common,
			hosts,
			config: () => ({
				version: CONFIG_VERSION,
				queues,
				services: [],
				maxBodyBytes: 1e6,
				idleTimeoutMs: 1e4,
			}),
			refreshConfig: () => undefined,
			isLeaving: () => false,
			ownLateMs: () => 0,
			isEvacuated,
			...wholeJobs,
		})
		for (const other of failureDomains) {
			const placer: Member = {
				...self,
				name: `${other}-1`,
				session: `${other}-s`,
				failureDomain: other,
				address: `${other}-1:1`,
			}
			const claim: Claim = {failureDomain: other, fence: 1, placer}
			view.noteClaim(claim)
		}
		const beats: Heartbeats = createHeartbeats({
			...common,
			send(address, message) {
				const to = instanceAt(address)
				clock.schedule(PEER_LATENCY_MS, () => {
					if (!isApart(id, to)) instances.get(to)?.beats.receive(message)
				})
			},
			ownHeartbeat: ownBeat,
			rooms: hosts.rooms,
			onHeartbeat: takeBeat,
			onRoomUpdate(news) {
				view.applyRoomUpdate(news)
				if (Object.values(news.rooms).some(({freeCpu}) => freeCpu.length > 0)) hosts.placeWaiting()
			},
			linkMbps: 1_000,
			needsOthers: () => false,
		})
		instances.set(id, {self, hosts, beats, dispatcher})
	}
	for (const failureDomain of failureDomains) addInstance(failureDomain)
	if (options.hasEntries)
		for (const failureDomain of failureDomains)
			addInstance(failureDomain, ENTRY_PREFIX + failureDomain)
	for (const failureDomain of failureDomains) tellList(failureDomain)

	return {
		executors,
		doubled,
		async submit(job) {
			const sentAt = clock.now()
			await clock.sleep(CALLER_LATENCY_MS)
			const receivedAt = clock.now()
			const queue = queueOf(job.kind.name)
			const handedIn: Job = {
				id: job.id,
				queue: queue.name,
				spec: job.spec,
				steps: job.steps,
				receivedAt,
				deadlineAt: receivedAt + DEADLINE_MS + 2 * job.objectiveMs,
			}
			const prefix = options.hasEntries ? ENTRY_PREFIX : ""
			const instance = instances.get(prefix + job.failureDomain) as Instance
			const caller = {...STAYING, madeAt: receivedAt, confirmedAt: () => clock.now()}
			const end = await instance.dispatcher.dispatch(handedIn, queue, caller)
			await clock.sleep(CALLER_LATENCY_MS)
			return {end, tookMs: clock.now() - sentAt}
		},
		setCut(failureDomain, isCut) {
			if (isCut) cut.add(failureDomain)
			else cut.delete(failureDomain)
		},
		setEvacuated(failureDomain, isEvacuated) {
			if (isEvacuated) evacuated.add(failureDomain)
			else evacuated.delete(failureDomain)
			for (const {hosts} of instances.values()) hosts.noteEvacuations()
		},
		setListed(executor, isListed) {
			if (isListed) listed.add(executor)
			else listed.delete(executor)
			tellList(executor.record.failureDomain)
		},
		replace(executor) {
			listed.delete(executor)
			const kind = work.roomCpu.indexOf(executor.record.capacity.cpu)
			const next = addExecutor(executor.record.failureDomain, kind)
			tellList(executor.record.failureDomain)
			return next
		},
		counters: () => metrics.text(),
	}
}
