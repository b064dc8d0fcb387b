/**
 * In-memory executors whose answers a test may override; by default they behave like healthy ones.
 */
import type {
	ExecutorOrders,
	ExecutorRecord,
	HoldReply,
	RunEnd,
	StartOrder,
	StartReply,
	StopReply,
} from "@cottonwood/jobs"
import type {FakeClock} from "./fake-clock.js"

export function record(id: string, extra: Partial<ExecutorRecord> = {}): ExecutorRecord {
	return {
		id,
		service: "svc",
		address: `${id}:1`,
		failureDomain: "a",
		capacity: {cpu: 64_000, memoryMb: 1_000, accelerators: 0},
		labels: [],
		rack: undefined,
		isLeaving: false,
		...extra,
	}
}

const SILENT = {type: "silent", cause: "test"} as const
/** How many ends the users' executors list at once. */
export const MAX_LISTED_ENDS = 500

export class FakeExecutors implements ExecutorOrders {
	readonly starts: (StartOrder & {readonly executor: string})[] = []
	readonly stops: {readonly task: string; readonly run: number}[] = []
	readonly fences: number[] = []
	/** Run numbers of the running tasks. */
	readonly running = new Map<string, number>()
	isSilent = false
	isReplaced = false
	/** How long a stopped run takes to end, unlisted meanwhile, in milliseconds. */
	stopTakesMs = 0
	/** The progress listed for all runs. */
	percent = 50
	startReplies: (StartReply | "silent but done")[] = []
	/** Holds time out, so that no ends are reported. */
	areHoldsLost = false
	/** The highest serial up to which ends may be forgotten. */
	forgottenUpTo = 0
	maxListedEnds = MAX_LISTED_ENDS
	private ends: RunEnd[] = []
	private serial = 0
	private wakers: (() => void)[] = []

	constructor(private readonly clock: FakeClock) {}

	/** Ends a run and lists its end. */
	end(task: string, how: RunEnd["how"]) {
		const run = this.running.get(task) ?? 0
		this.running.delete(task)
		this.ends.push({serial: ++this.serial, task, run, how})
		for (const wake of this.wakers) wake()
		this.wakers = []
	}

	private endStopped(task: string) {
		const run = this.running.get(task) ?? 0
		this.running.delete(task)
		const list = () => {
			this.running.set(task, run)
			this.end(task, "stopped")
		}
		if (this.stopTakesMs > 0) this.clock.schedule(this.stopTakesMs, list)
		else list()
	}

	async start(executor: ExecutorRecord, order: StartOrder, timeoutMs: number): Promise<StartReply> {
		this.starts.push({...order, executor: executor.id})
		const reply = this.startReplies.shift()
		if (this.isSilent || reply === "silent but done") {
			if (reply === "silent but done") this.running.set(order.task, order.run)
			await this.clock.sleep(timeoutMs)
			return SILENT
		}
		if (this.isReplaced) return {type: "replaced"}
		if (reply) return reply
		this.running.set(order.task, order.run)
		return {type: "started", clockMs: this.clock.now()}
	}

	async stop(
		_executor: ExecutorRecord,
		order: {readonly task: string; readonly run: number},
		timeoutMs: number,
	): Promise<StopReply> {
		this.stops.push(order)
		if (this.isSilent) {
			await this.clock.sleep(timeoutMs)
			return SILENT
		}
		if (this.running.get(order.task) === order.run) this.endStopped(order.task)
		return {type: "stopping", clockMs: this.clock.now()}
	}

	async hold(
		_executor: ExecutorRecord,
		order: {readonly fence: number; readonly seenSerial: number; readonly waitMs: number},
		timeoutMs: number,
	): Promise<HoldReply> {
		this.fences.push(order.fence)
		if (this.isSilent) {
			await this.clock.sleep(timeoutMs)
			return SILENT
		}
		if (this.isReplaced) return {type: "replaced"}
		this.forgottenUpTo = Math.max(this.forgottenUpTo, order.seenSerial)
		this.ends = this.ends.filter(({serial}) => serial > order.seenSerial)
		if (this.ends.length === 0 && order.waitMs > 0) await this.nextEnd(order.waitMs)
		// A hold without a wait takes a moment, so that no loop spins at one instant.
		else await this.clock.sleep(1)
		const running = [...this.running].map(([task, run]) => ({task, run, percent: this.percent}))
		if (this.areHoldsLost) {
			await this.clock.sleep(timeoutMs)
			return SILENT
		}
		const ends = this.ends.slice(0, this.maxListedEnds)
		return {type: "held", clockMs: this.clock.now(), running, ends}
	}

	async isReachable(): Promise<boolean> {
		return !this.isSilent
	}

	forget() {}

	private nextEnd(ms: number): Promise<void> {
		return new Promise(resolve => {
			this.wakers.push(resolve)
			this.clock.schedule(ms, resolve)
		})
	}
}

/** Several executors, each with its own runs and ends. */
export class FakeFleet implements ExecutorOrders {
	private readonly fleet = new Map<string, FakeExecutors>()

	constructor(
		private readonly clock: FakeClock,
		readonly maxListedEnds = MAX_LISTED_ENDS,
	) {}

	private at({id}: ExecutorRecord): FakeExecutors {
		const known = this.fleet.get(id)
		if (known) return known
		const executor = new FakeExecutors(this.clock)
		executor.maxListedEnds = this.maxListedEnds
		this.fleet.set(id, executor)
		return executor
	}

	private all(): readonly FakeExecutors[] {
		return [...this.fleet.values()]
	}

	get starts() {
		return this.all().flatMap(executor => executor.starts)
	}

	get stops() {
		return this.all().flatMap(executor => executor.stops)
	}

	get runningCount() {
		return this.all().reduce((sum, {running}) => sum + running.size, 0)
	}

	/** Number of ends that the executors were allowed to forget. */
	get forgotten() {
		return this.all().reduce((sum, {forgottenUpTo}) => sum + forgottenUpTo, 0)
	}

	set isSilent(isSilent: boolean) {
		for (const executor of this.all()) executor.isSilent = isSilent
	}

	set percent(percent: number) {
		for (const executor of this.all()) executor.percent = percent
	}

	/** The executor answers no more orders. */
	silence(id: string) {
		const executor = this.fleet.get(id)
		if (executor) executor.isSilent = true
	}

	/** Another process answers at the executor's address from its next order on. */
	replace(id: string) {
		const executor = this.fleet.get(id)
		if (executor) executor.isReplaced = true
	}

	/** All runs end unlisted, as when the executors' leases lapse. */
	clear() {
		for (const {running} of this.all()) running.clear()
	}

	end(task: string, how: RunEnd["how"]) {
		for (const executor of this.all()) if (executor.running.has(task)) executor.end(task, how)
	}

	start(executor: ExecutorRecord, order: StartOrder, timeoutMs: number) {
		return this.at(executor).start(executor, order, timeoutMs)
	}

	stop(
		executor: ExecutorRecord,
		order: {readonly task: string; readonly run: number},
		timeoutMs: number,
	) {
		return this.at(executor).stop(executor, order, timeoutMs)
	}

	hold(executor: ExecutorRecord, order: Parameters<ExecutorOrders["hold"]>[1], timeoutMs: number) {
		return this.at(executor).hold(executor, order, timeoutMs)
	}

	isReachable(executor: ExecutorRecord) {
		return this.at(executor).isReachable()
	}

	forget() {}
}
