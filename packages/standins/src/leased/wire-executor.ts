/**
 * A stand-in of the users' executors: fences, run numbers, leases on its own monotonic clock, lists of running and
 * finished tasks, and injectable faults. Reports each start, end and exceeded capacity to the platform stand-in.
 */
import type {IncomingMessage, ServerResponse} from "node:http"

export interface ExecutorFaults {
	/** Ignores all calls and answers none. */
	mute?: boolean
	/** Carries out orders without answering. */
	loseAnswers?: boolean
	/** Carries out the next `count` starts late, without answering. */
	lateStarts?: {count: number; delayMs: number}
	/** The delay in milliseconds after which an order is carried out without an answer; undefined for none. */
	lateOrders?: (fence: number) => number | undefined
	failAll?: boolean
	/** New tasks make no progress and don't end by themselves. */
	hang?: boolean
	/** Refuses starts with status 503. */
	unhealthy?: boolean
	/** Factor on the run time of new tasks. */
	slowness?: number
}

interface Running {
	readonly task: string
	readonly run: number
	readonly cpu: number
	readonly startedAt: number
	readonly workMs: number
	/** The outcome when the work is done; undefined for a hanging task. */
	readonly outcome: string | undefined
	readonly cancel: () => void
}

/** Events of one executor, for the checker of all. */
export interface ExecutorEvents {
	onStart(executor: string, task: string, run: number, fence: number): void
	onEnd(executor: string, task: string, run: number, how: string): void
	onViolation(rule: string): void
	/** A task has crashed the executor. */
	onCrash(executor: string): void
	/** An order was answered with `status`, refusals included. */
	onOrder(executor: string, order: OrderResult): void
}

/** An order and its result. */
export interface OrderResult {
	readonly path: string
	readonly fence: number
	readonly status: number
	readonly task: string | undefined
	readonly run: number | undefined
	/** Remaining lease in milliseconds on the executor's clock; negative once it ended. */
	readonly leaseLeftMs: number
}

/** The spec of a task, which the program passes through unread. */
export interface StandInSpec {
	readonly workMs: number
	readonly cpu: number
	readonly fails?: boolean
	/** Crashes the executor soon after the start. */
	readonly crashes?: boolean
}

interface Order {
	readonly task: string
	readonly run: number
	readonly spec: string
	readonly fence: number
	readonly "deadline-ms"?: number
	readonly "last-seen"?: number
	readonly "wait-ms"?: number
}

const MAX_LEASE_MS = 1_000
/** How many ends are listed at once, oldest first. */
const MAX_LISTED_ENDS = 500
const MAX_WAIT_MS = 2_000
const STOP_MS = 5
const LEASE_CHECK_MS = 2
/** Leaves time for the answer to the start. */
const CRASH_DELAY_MS = 20
/** A smaller capacity is announced with the next heartbeat, and enforced 3 s after that. */
const EARLIER_CAPACITY_MS = 3_500

export class WireExecutor {
	readonly faults: ExecutorFaults = {}
	/** The number of starts carried out. */
	starts = 0
	private readonly clockOffset = Math.floor(Math.random() * 1e6)
	private readonly running = new Map<string, Running>()
	private readonly lastRun = new Map<string, number>()
	private finished: [number, string, number, string, string][] = []
	private serial = 0
	private highestFence = 0
	private leaseUntil = 0
	private hasCrashed = false
	private currentCpu: number
	/** Earlier capacities, which starts may still rely on until the given time. */
	private earlierCapacities: readonly {readonly cpu: number; readonly until: number}[] = []
	private readonly leaseTimer = setInterval(() => this.settle(), LEASE_CHECK_MS)
	private readonly waiting = new Set<() => void>()

	constructor(
		readonly id: string,
		capacityCpu: number,
		private readonly events: ExecutorEvents,
		/** Milliseconds that the executor's clock advances in one. */
		private readonly clockRate = 1,
	) {
		this.currentCpu = capacityCpu
	}

	capacityCpu(): number {
		return this.currentCpu
	}

	resize(cpu: number) {
		const until = performance.now() + EARLIER_CAPACITY_MS
		this.earlierCapacities = [...this.earlierCapacities, {cpu: this.currentCpu, until}]
		this.currentCpu = cpu
	}

	/** The capacity that starts are checked against: the largest of the current and recent ones. */
	private enforcedCpu(): number {
		const now = performance.now()
		this.earlierCapacities = this.earlierCapacities.filter(({until}) => until > now)
		return Math.max(this.currentCpu, ...this.earlierCapacities.map(({cpu}) => cpu))
	}

	clock(): number {
		return Math.floor(performance.now() * this.clockRate + this.clockOffset)
	}

	runningCount(): number {
		return this.running.size
	}

	/** The number of a job's runs. */
	runningCountOf(job: string): number {
		return [...this.running.keys()].filter(task => task.startsWith(`${job}.`)).length
	}

	/** Ends all runs as `crashed`, closes open holds and refuses later orders with status 503. */
	crash() {
		this.hasCrashed = true
		clearInterval(this.leaseTimer)
		for (const run of [...this.running.values()]) this.removeRun(run, "crashed")
		for (const resolve of this.waiting) resolve()
	}

	async handle(req: IncomingMessage, body: string, res: ServerResponse) {
		if (this.faults.mute) return
		this.settle()
		const expected = req.headers["x-expect-instance"]
		if (expected !== undefined && expected !== this.id) return this.answer(res, 421, {})
		const order = JSON.parse(body || "{}") as Order
		const late = this.faults.lateStarts
		if (req.url === "/run-start" && late && late.count > 0) {
			late.count--
			setTimeout(() => this.execute(req.url ?? "", order), late.delayMs)
			return
		}
		const lateMs = this.faults.lateOrders?.(order.fence ?? 0)
		if (lateMs !== undefined) {
			setTimeout(() => this.execute(req.url ?? "", order), lateMs)
			return
		}
		if (req.url === "/hold") return this.answerHold(order, res)
		const [status, answer] = this.execute(req.url ?? "", order)
		if (!this.faults.loseAnswers) this.answer(res, status, answer)
	}

	private answer(res: ServerResponse, status: number, body: object) {
		res.writeHead(status, {"content-type": "application/json"})
		res.end(JSON.stringify({"clock-ms": this.clock(), ...body}))
	}

	private execute(path: string, order: Order): [number, object] {
		if (this.hasCrashed) return [503, {}]
		this.settle()
		const result = this.apply(path, order)
		this.report(path, order, result[0])
		return result
	}

	private report(path: string, {fence, task, run}: Order, status: number) {
		const leaseLeftMs = this.leaseUntil - this.clock()
		this.events.onOrder(this.id, {path, fence, status, task, run, leaseLeftMs})
	}

	private apply(path: string, order: Order): [number, object] {
		const fence = order.fence ?? 0
		if (fence < this.highestFence) return [409, {reason: "fence"}]
		this.highestFence = fence
		if (path === "/run-start") return this.startTask(order)
		if (path === "/run-stop") return this.stopTask(order)
		if (path === "/hold") return this.applyHold(order)
		return [404, {}]
	}

	private extendLease(deadlineMs: number | undefined) {
		if (deadlineMs === undefined) return
		this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadlineMs, this.clock() + MAX_LEASE_MS))
	}

	private applyHold(order: Order): [number, object] {
		this.extendLease(order["deadline-ms"])
		this.finished = this.finished.filter(([serial]) => serial > (order["last-seen"] ?? 0))
		return [200, {}]
	}

	private startTask(order: Order): [number, object] {
		const {task, run} = order
		if (this.faults.unhealthy) return [503, {}]
		if ((order["deadline-ms"] ?? 0) <= this.clock()) return [409, {reason: "late"}]
		this.extendLease(order["deadline-ms"])
		if (this.running.get(task)?.run === run) return [200, {}]
		if (run <= (this.lastRun.get(task) ?? 0)) return [409, {reason: "old"}]
		this.startRun(order)
		return [200, {}]
	}

	private startRun({task, run, spec, fence}: Order) {
		const {workMs, cpu, fails, crashes} = JSON.parse(spec) as StandInSpec
		this.lastRun.set(task, run)
		this.starts++
		const takesMs = workMs * (this.faults.slowness ?? 1)
		const outcome = fails || this.faults.failAll ? "failed" : "done"
		const isHanging = this.faults.hang
		const timer = isHanging ? undefined : setTimeout(() => this.end(task, run, outcome), takesMs)
		const cancel = () => clearTimeout(timer)
		const progress = {
			startedAt: this.clock(),
			workMs: takesMs,
			outcome: isHanging ? undefined : outcome,
		}
		this.running.set(task, {task, run, cpu, ...progress, cancel})
		this.events.onStart(this.id, task, run, fence)
		if (crashes) setTimeout(() => this.events.onCrash(this.id), CRASH_DELAY_MS)
		let used = 0
		for (const running of this.running.values()) used += running.cpu
		if (used > this.enforcedCpu()) this.events.onViolation(`LIMIT at ${this.id}: ${used}`)
	}

	private stopTask({task, run}: Order): [number, object] {
		const running = this.running.get(task)
		if (running?.run === run) {
			running.cancel()
			setTimeout(() => this.end(task, run, "stopped"), STOP_MS)
		}
		this.lastRun.set(task, Math.max(this.lastRun.get(task) ?? 0, run))
		return [200, {}]
	}

	private removeRun(run: Running, how: string) {
		run.cancel()
		this.running.delete(run.task)
		this.events.onEnd(this.id, run.task, run.run, how)
	}

	private end(task: string, run: number, how: string) {
		const running = this.running.get(task)
		if (running?.run !== run) return
		this.removeRun(running, how)
		this.finished.push([++this.serial, task, run, how, ""])
		for (const resolve of this.waiting) resolve()
		this.waiting.clear()
	}

	/** Ends runs that are over by the executor's clock; the runs' own timers may fire late in a busy process. */
	settle() {
		const now = this.clock()
		for (const {task, run, startedAt, workMs, outcome} of [...this.running.values()]) {
			const doneAt = startedAt + workMs
			if (outcome !== undefined && doneAt < Math.min(now, this.leaseUntil))
				this.end(task, run, outcome)
			else if (now > this.leaseUntil) this.end(task, run, "lapsed")
		}
	}

	private runningRows() {
		const now = this.clock()
		return [...this.running.values()].map(({task, run, startedAt, workMs}) => {
			const percent = this.faults.hang ? 0 : Math.floor(((now - startedAt) / workMs) * 100)
			return [task, run, "", Math.min(99, percent)]
		})
	}

	private async answerHold(order: Order, res: ServerResponse) {
		const waitMs = order["wait-ms"] ?? 0
		if (!Number.isInteger(waitMs) || waitMs > MAX_WAIT_MS) return this.answer(res, 400, {})
		const [status, refusal] = this.execute("/hold", order)
		if (status !== 200) return this.answer(res, status, refusal)
		if (this.finished.length === 0) await this.nextEnd(waitMs)
		if (this.hasCrashed) return void res.destroy()
		if (this.faults.mute || this.faults.loseAnswers) return
		const finished = this.finished.slice(0, MAX_LISTED_ENDS)
		this.answer(res, 200, {running: this.runningRows(), finished})
	}

	private nextEnd(ms: number): Promise<void> {
		return new Promise(resolve => {
			const wake = () => {
				clearTimeout(timer)
				resolve()
			}
			const timer = setTimeout(wake, ms)
			this.waiting.add(wake)
		})
	}
}
