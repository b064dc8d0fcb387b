/**
 * One failure domain on a fake clock: several instances with their real claims, handovers, heartbeats, placers and
 * dispatchers, one store, and executors that obey the highest fence. Faults are injected by instance name.
 */
import type {TransactionalStore} from "@cottonwood/core"
import {
	createJobMetrics,
	silentLog,
	type Heartbeat,
	type Claim,
	type ExecutorOrders,
	type ExecutorRecord,
	type JobEnd,
	type Member,
} from "@cottonwood/jobs"
import {
	claimKey,
	createHeartbeats,
	createClaimsLoop,
	createDispatcher,
	createFleetView,
	createHandover,
	createHostedPlacers,
	createOverflow,
	createSlicing,
	executorsOfSlice,
	memberKey,
	sliceNames,
	type Heartbeats,
	type ClaimsLoop,
	type Dispatcher,
	type Handover,
	type HostedPlacers,
	type Keeper,
	type PeerCall,
	type Peers,
} from "@cottonwood/jobs/internals"
import {createFakeClock} from "./fake-clock.js"
import {record} from "./fake-executors.js"
import {createFakeStore} from "./fake-store.js"
import {LeasedExecutor, ordersTo} from "./leased-executor.js"
import {fakePeers} from "./peers.js"
import {LEASE_RULE, NO_ADVISOR, NO_KEPT_RUNS, QUEUE} from "./requests.js"

const DOMAIN = "a"
const LATENCY_MS = 1
/** Interval at which an instance reads the store's changes. */
const STORE_READ_MS = 20
const PING_TIMEOUT_MS = 350
/** Two tasks of this size fill an executor. */
const NEED = {cpu: 27_000, memoryMb: 64, accelerators: 0}
const TASKS_PER_EXECUTOR = 2
/** These executors report no progress; a run that ends within 0.6 of its estimate doesn't count as stuck. */
const ESTIMATE_MS = 3_000
const WORK_MS = 1_200
const CPU_SHARE = 0.675

interface Instance {
	readonly self: Member
	readonly hosts: HostedPlacers
	readonly beats: Heartbeats
	readonly claims: ClaimsLoop
	readonly handover: Handover
	readonly dispatcher: Dispatcher
	readonly view: ReturnType<typeof createFleetView>
	/** Its state and faults. */
	readonly is: {
		dead: boolean
		leaving: boolean
		cutFromStore: boolean
		cutFromPeers: boolean
		/** Replies to its calls are lost. */
		deaf: boolean
	}
}

export interface SlicedDomainOptions {
	readonly instances: number
	readonly executors: number
	readonly executorsPerPlacer?: number
}

export function createSlicedDomain(options: SlicedDomainOptions) {
	const clock = createFakeClock()
	const {fake, store} = createFakeStore()
	const records: ExecutorRecord[] = []
	const executors = new Map<string, LeasedExecutor>()
	const instances = new Map<string, Instance>()
	const faults: string[] = []
	const evacuated = new Set<string>()
	let serial = 0

	function addExecutors(count: number) {
		for (let times = 0; times < count; times++) {
			const id = `e${records.length}`
			records.push(record(id))
			executors.set(id, new LeasedExecutor(clock))
		}
		for (const {hosts} of instances.values()) hosts.setExecutors(records)
	}
	addExecutors(options.executors)

	const runningCount = () =>
		[...executors.values()].reduce((sum, {running}) => sum + running.size, 0)

	/** Orders to the executors that end each run after its work, and record faults. */
	function ordersOf(is: Instance["is"]): ExecutorOrders {
		const sound = ordersTo(id => executors.get(id) as LeasedExecutor)
		const never = new Promise<never>(() => undefined)
		return {
			...sound,
			hold: (executor, order, ms) => (is.dead ? never : sound.hold(executor, order, ms)),
			stop: (executor, order, ms) => (is.dead ? never : sound.stop(executor, order, ms)),
			async start(executor, order, ms) {
				if (is.dead) return never
				const reply = await sound.start(executor, order, ms)
				if (reply.type !== "started") return reply
				const there = executors.get(executor.id) as LeasedExecutor
				const places = [...executors.values()].filter(({running}) => running.has(order.task))
				if (places.length > 1) faults.push(`${order.task} ran twice at once`)
				if (there.running.size > TASKS_PER_EXECUTOR) faults.push(`${executor.id} is overfull`)
				clock.schedule(WORK_MS, () => {
					if (there.running.get(order.task) === order.run) there.end(order.task, "done")
				})
				return reply
			},
		}
	}

	function storeOf(is: Instance["is"]): TransactionalStore {
		const isAway = () => is.dead || is.cutFromStore
		return {
			...store,
			get: key => (isAway() ? Promise.resolve(undefined) : store.get(key)),
			put: (...args) => (isAway() ? Promise.resolve({type: "unknown"}) : store.put(...args)),
		}
	}

	function peersOf(from: Instance["is"]): Peers {
		const at = (address: string) => {
			const there = instances.get(address.split(":")[0] as string)
			const isApart = from.dead || from.cutFromPeers || !there || there.is.dead
			return isApart || there.is.cutFromPeers ? undefined : there
		}
		function call<T>(
			address: string,
			timeoutMs: number,
			ask: (there: Instance) => Promise<T>,
		): PeerCall<T> {
			const isUnsent = at(address) === undefined
			const reply = new Promise<T | undefined>(resolve => {
				clock.schedule(isUnsent ? LATENCY_MS : timeoutMs, () => resolve(undefined))
				clock.schedule(LATENCY_MS, () => {
					const there = at(address)
					if (there) void ask(there).then(answer => at(address) && !from.deaf && resolve(answer))
				})
			})
			const wasUnsent = () => isUnsent
			return {reply, wasUnsent, wasRefused: () => false, cancel: () => undefined}
		}
		const callerOf = (confirmedAt: () => number) => {
			return {onCancel: () => undefined, madeAt: clock.now(), confirmedAt}
		}
		return fakePeers({
			beat: (address, _beat, ms) =>
				call(address, ms, ({self}) => Promise.resolve({...emptyBeat(self)})).reply,
			runJob: (address, message, ms, confirmedAt) =>
				call(address, ms, there => there.dispatcher.runJob(message, callerOf(confirmedAt))),
			runTask: (address, message, ms, confirmedAt) =>
				call(address, ms, there => there.dispatcher.runTask(message, callerOf(confirmedAt))),
			takeOver: (address, message, ms) =>
				call(address, ms, there => there.handover.takeOver(message)),
		})
	}

	const emptyBeat = (from: Member): Heartbeat => {
		return {from, claims: [], rooms: {}, isLeaving: false, configVersion: 1}
	}

	function addInstance(name: string, session = `${name}-s`) {
		const at = {failureDomain: DOMAIN, address: `${name}:1`, cpuShare: CPU_SHARE}
		const self: Member = {name, session, ...at}
		const is = {dead: false, leaving: false, cutFromStore: false, cutFromPeers: false, deaf: false}
		const metrics = createJobMetrics()
		const peers = peersOf(is)
		const view = createFleetView(
			clock,
			claim => {
				hosts.noteClaim(claim)
				hosts.setExecutors(records)
			},
			() => void metrics.count("broken_assumptions", "slice_claim"),
		)
		const common = {clock, leaseRule: LEASE_RULE, log: silentLog, metrics, self, peers, view}
		const overflow = createOverflow(common)
		const isLeaving = () => is.leaving || is.dead
		const slicing = createSlicing({
			...common,
			overflow,
			executorsPerPlacer: options.executorsPerPlacer,
			executorsOf: () => records,
			isPlacing: domain => hosts.of(domain) !== undefined,
			isLeaving,
		})
		const keeper = {
			...NO_KEPT_RUNS,
			begin: () => undefined,
			close: () => undefined,
			jobCount: () => 0,
		} as unknown as Keeper
		const isEvacuated = (domain: string) => evacuated.has(domain.split("/")[0] as string)
		const hosts: HostedPlacers = createHostedPlacers({
			...common,
			orders: ordersOf(is),
			advisor: NO_ADVISOR,
			stopGraceMs: 50,
			handOver: item => overflow.handOver(item),
			onRoomChange: () => beats?.noteRoomChange(),
			createKeeper: () => keeper,
			executorsOf: slicing.executorsOf,
			isEvacuated,
			slices: slicing,
		})
		const ownBeat = (): Heartbeat => {
			const news = {claims: view.claims(), rooms: hosts.rooms(), isLeaving: is.leaving}
			return {...emptyBeat(self), ...news}
		}
		const beats: Heartbeats = createHeartbeats({
			...common,
			send(address, message) {
				const there = instances.get(address.split(":")[0] as string)
				if (is.dead || is.cutFromPeers) return
				clock.schedule(LATENCY_MS, () => {
					if (there && !there.is.dead && !there.is.cutFromPeers) there.beats.receive(message)
				})
			},
			ownHeartbeat: ownBeat,
			rooms: hosts.rooms,
			onHeartbeat(beat) {
				view.applyHeartbeat(beat)
				hosts.placeWaiting()
			},
			onRoomUpdate(news) {
				view.applyRoomUpdate(news)
				hosts.placeWaiting()
			},
			needsOthers: () => false,
			linkMbps: 1_000,
		})
		const claims = createClaimsLoop({
			...common,
			store: storeOf(is),
			failureDomains: () => sliceNames(DOMAIN, view.sliceCount(DOMAIN)),
			isLeaving,
			ping: async ({address}, patienceMs) =>
				(await peers.beat(address, ownBeat(), PING_TIMEOUT_MS + patienceMs))?.from.session,
			ownLateMs: () => 0,
			canReachExecutors: () => Promise.resolve(true),
			hasKeptJobs: () => Promise.resolve(false),
			onCutOff: () => undefined,
		})
		const handover = createHandover({
			...common,
			hosts,
			overflow,
			claims: () => claims,
			placedDomains: () => Object.keys(hosts.rooms()),
			isLeaving,
			isStrained: () => false,
		})
		const dispatcher = createDispatcher({
			...common,
			hosts,
			config: () => undefined,
			refreshConfig: () => undefined,
			isLeaving: () => is.leaving,
			ownLateMs: () => 0,
			isEvacuated,
		})
		function readStore() {
			if (!is.dead && !is.cutFromStore) view.applyListing([...fake.items.values()])
			clock.schedule(STORE_READ_MS, readStore)
		}
		fake.write(memberKey(name), self)
		instances.set(name, {self, hosts, beats, claims, handover, dispatcher, view, is})
		readStore()
	}

	for (let at = 1; at <= options.instances; at++) addInstance(`a-${at}`)
	const at = (name: string) => instances.get(name) as Instance
	const ends: JobEnd["type"][] = []

	return {
		clock,
		fake,
		records,
		executors,
		/** Violations of what must always hold. */
		faults,
		/** How the submitted jobs have ended so far. */
		ends,
		at,
		runningCount,
		addExecutors,
		addInstance,
		/** Submits jobs at the running instances in turn; returns a list that receives how they end. */
		submit(count: number): readonly JobEnd["type"][] {
			const batch: JobEnd["type"][] = []
			const living = [...instances.values()].filter(({is}) => !is.dead && !is.leaving)
			for (let times = 0; times < count; times++) {
				const id = `j${++serial}`
				const step = {count: 1, need: NEED, estimateMs: ESTIMATE_MS, after: []}
				const {dispatcher} = living[serial % living.length] as Instance
				const job = {id, queue: QUEUE.name, spec: "", steps: [step], receivedAt: clock.now()}
				const caller = {
					onCancel: () => undefined,
					madeAt: Infinity,
					confirmedAt: () => clock.now(),
				}
				const deadlineAt = clock.now() + 5_000
				void dispatcher.dispatch({...job, deadlineAt}, QUEUE, caller).then(({type}) => {
					batch.push(type)
					ends.push(type)
				})
			}
			return batch
		},
		/** The fence of a slice's claim in the store. */
		fenceOf: (name: string) => (fake.items.get(claimKey(name))?.value as Claim | undefined)?.fence,
		/** How many runs the executors have started. */
		startCount: () => [...executors.values()].reduce((sum, {started}) => sum + started.length, 0),
		/** The names of the placers in the store, by slice. */
		placers: () =>
			sliceNames(DOMAIN, 9).flatMap(name => {
				const claim = fake.items.get(claimKey(name))?.value as Claim | undefined
				return claim ? [claim.placer.name] : []
			}),
		/** The ids of the executors that an instance's placers use. */
		placed: (name: string) =>
			sliceNames(DOMAIN, 9).flatMap(slice =>
				at(name)
					.hosts.executorsOf(slice)
					.map(({id}) => id),
			),
		sizeOf: (index: number, count: number) =>
			executorsOfSlice(sliceNames(DOMAIN, count)[index] as string, count, records).length,
		kill(name: string) {
			at(name).is.dead = true
			fake.items.delete(memberKey(name))
		},
		async leave(name: string) {
			at(name).is.leaving = true
			await at(name).handover.handOverAll()
		},
		evacuate(isUnderWay: boolean) {
			if (isUnderWay) evacuated.add(DOMAIN)
			else evacuated.delete(DOMAIN)
			for (const {hosts} of instances.values()) hosts.noteEvacuations()
		},
	}
}
