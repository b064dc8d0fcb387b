/**
 * Executors in virtual time that keep the executor contract: fences, leases, run numbers, capacity and progress.
 *
 * A run's duration comes from its spec. Faults stop an executor, halt its tasks or slow them down.
 */
import type {
	ExecutorOrders,
	ExecutorRecord,
	HoldOrder,
	HoldReply,
	Reply,
	RunEnd,
	RunEndKind,
	StartOrder,
	StartReply,
	StopReply,
} from "@cottonwood/jobs"
import {MAX_LISTED_ENDS} from "../fake-executors.js"
import type {ReplayClock} from "./replay-clock.js"

/** The spec of a replayed task. */
export interface ReplaySpec {
	readonly cpu: number
	readonly memoryMb: number
	/** Run times of the tasks at slowness 1, by index. */
	readonly workMs: readonly number[]
}

interface Run {
	readonly task: string
	readonly run: number
	readonly spec: ReplaySpec
	readonly workMs: number
	doneMs: number
	since: number
	cancelTimer: () => void
}

interface Faults {
	/** Neither receives nor answers; its runs are lost. */
	isDead: boolean
	/** Tasks make no progress. */
	isHanging: boolean
	/** Factor on the tasks' run times. */
	slowness: number
	/** Share of orders that get no reply and are carried out late. */
	lateShare: number
	/** Share of runs that fail. */
	failShare: number
}

/** One-way latency between a placer and an executor of its domain, with processing on both sides. */
const LATENCY_MS = 0.6
const LATE_MS = 300
const STOP_MS = 5

const parsed = new Map<string, ReplaySpec>()
function specOf(text: string): ReplaySpec {
	let spec = parsed.get(text)
	if (!spec) parsed.set(text, (spec = JSON.parse(text) as ReplaySpec))
	return spec
}

export class ReplayExecutor {
	readonly faults: Faults = {
		isDead: false,
		isHanging: false,
		slowness: 1,
		lateShare: 0,
		failShare: 0,
	}
	/** Starts that would have exceeded the capacity. */
	overfilled = 0
	private readonly runs = new Map<string, Run>()
	private readonly lastRun = new Map<string, number>()
	private ends: RunEnd[] = []
	private serial = 0
	private fence = 0
	private leaseUntil = -Infinity
	private waiting: (() => void)[] = []

	constructor(
		readonly record: ExecutorRecord,
		private readonly clock: ReplayClock,
		private readonly random: () => number,
		/** Called for each start and end, by task. */
		private readonly judge: {begin(task: string): void; end(task: string): void},
	) {}

	/** Core-milliseconds of runs that ended without success. */
	wasted = 0

	setFault(change: Partial<Faults>) {
		for (const run of this.runs.values()) this.pause(run)
		Object.assign(this.faults, change)
		if (change.isDead) for (const run of [...this.runs.values()]) this.drop(run)
		for (const run of this.runs.values()) this.resume(run)
	}

	async start(order: StartOrder, timeoutMs: number): Promise<StartReply> {
		return this.answered(timeoutMs, () => this.carryOutStart(order))
	}

	async stop(
		{task, run, fence}: {readonly task: string; readonly run: number; readonly fence: number},
		timeoutMs: number,
	): Promise<StopReply> {
		return this.answered<StopReply>(timeoutMs, () => {
			if (fence < this.fence) return {type: "fenced"}
			this.fence = fence
			this.lastRun.set(task, Math.max(run, this.lastRun.get(task) ?? 0))
			const there = this.runs.get(task)
			if (there?.run === run) this.clock.schedule(STOP_MS, () => this.end(there, "stopped"))
			return {type: "stopping", clockMs: this.clock.now()}
		})
	}

	async hold(order: HoldOrder, timeoutMs: number): Promise<HoldReply> {
		const sentAt = this.clock.now()
		await this.clock.sleep(LATENCY_MS)
		if (this.faults.isDead || this.isLeftUnanswered()) return this.silence(timeoutMs, sentAt)
		if (order.fence < this.fence) return {type: "fenced"}
		this.fence = order.fence
		if (order.leaseUntilMs !== undefined) this.extend(order.leaseUntilMs)
		this.ends = this.ends.filter(({serial}) => serial > order.seenSerial)
		if (this.ends.length === 0 && order.waitMs > 0) await this.nextEnd(order.waitMs)
		if (this.faults.isDead) return this.silence(timeoutMs, sentAt)
		const running = [...this.runs.values()].map(run => ({
			task: run.task,
			run: run.run,
			percent: Math.floor((this.doneOf(run) / run.workMs) * 100),
		}))
		const held: HoldReply = {
			type: "held",
			clockMs: this.clock.now(),
			running,
			ends: this.ends.slice(0, MAX_LISTED_ENDS),
		}
		await this.clock.sleep(LATENCY_MS)
		return held
	}

	private async answered<T extends Reply<unknown>>(timeoutMs: number, carryOut: () => T) {
		const sentAt = this.clock.now()
		await this.clock.sleep(LATENCY_MS)
		if (this.faults.isDead) return this.silence(timeoutMs, sentAt)
		if (this.isLeftUnanswered()) {
			this.clock.schedule(LATE_MS, () => void (this.faults.isDead || carryOut()))
			return this.silence(timeoutMs, sentAt)
		}
		const reply = carryOut()
		await this.clock.sleep(LATENCY_MS)
		return reply
	}

	private isLeftUnanswered(): boolean {
		return this.faults.lateShare > 0 && this.random() < this.faults.lateShare
	}

	private async silence(timeoutMs: number, sentAt: number) {
		await this.clock.sleep(sentAt + timeoutMs - this.clock.now())
		return {type: "silent", cause: "replay"} as const
	}

	private carryOutStart({task, run, spec: text, fence, leaseUntilMs}: StartOrder): StartReply {
		const clockMs = this.clock.now()
		if (fence < this.fence) return {type: "fenced"}
		this.fence = fence
		if (leaseUntilMs <= clockMs) return {type: "refused", cause: "late", clockMs}
		this.extend(leaseUntilMs)
		if (this.runs.get(task)?.run === run) return {type: "started", clockMs}
		if (run <= (this.lastRun.get(task) ?? 0)) return {type: "refused", cause: "old", clockMs}
		const spec = specOf(text)
		const index = Number(task.slice(task.lastIndexOf(".") + 1))
		const used = [...this.runs.values()].reduce((sum, other) => sum + other.spec.cpu, spec.cpu)
		if (used > this.record.capacity.cpu) {
			this.overfilled++
			return {type: "refused", cause: "room", clockMs}
		}
		const workMs = spec.workMs[index] ?? 0
		const begun: Run = {
			task,
			run,
			spec,
			workMs,
			doneMs: 0,
			since: clockMs,
			cancelTimer: () => undefined,
		}
		this.lastRun.set(task, run)
		this.runs.set(task, begun)
		this.judge.begin(task)
		this.resume(begun)
		return {type: "started", clockMs}
	}

	private doneOf(run: Run): number {
		if (this.faults.isHanging) return run.doneMs
		return run.doneMs + (this.clock.now() - run.since) / this.faults.slowness
	}

	private pause(run: Run) {
		run.doneMs = this.doneOf(run)
		run.since = this.clock.now()
		run.cancelTimer()
	}

	private resume(run: Run) {
		run.since = this.clock.now()
		if (this.faults.isHanging) return
		const leftMs = Math.max(0, run.workMs - run.doneMs) * this.faults.slowness
		const how = this.random() < this.faults.failShare ? "failed" : "done"
		run.cancelTimer = this.clock.schedule(leftMs, () => this.end(run, how))
	}

	private drop(run: Run) {
		run.cancelTimer()
		if (this.runs.get(run.task) !== run) return false
		this.runs.delete(run.task)
		this.judge.end(run.task)
		return true
	}

	private end(run: Run, how: RunEndKind) {
		const doneMs = this.doneOf(run)
		if (!this.drop(run)) return
		if (how !== "done") this.wasted += (run.spec.cpu / 1_000) * doneMs
		this.ends.push({serial: ++this.serial, task: run.task, run: run.run, how})
		for (const wake of this.waiting.splice(0)) wake()
	}

	private extend(untilMs: number) {
		if (untilMs <= this.leaseUntil) return
		this.leaseUntil = untilMs
		this.clock.schedule(untilMs - this.clock.now() + 1, () => {
			if (this.clock.now() <= this.leaseUntil) return
			for (const run of [...this.runs.values()]) this.end(run, "lapsed")
		})
	}

	private nextEnd(ms: number): Promise<void> {
		return new Promise(resolve => {
			this.waiting.push(resolve)
			this.clock.schedule(ms, resolve)
		})
	}
}

/** The executors of all domains, by id. */
export function createReplayOrders(executors: ReadonlyMap<string, ReplayExecutor>): ExecutorOrders {
	const at = ({id}: ExecutorRecord) => executors.get(id) as ReplayExecutor
	return {
		maxListedEnds: MAX_LISTED_ENDS,
		start: (record, order, timeoutMs) => at(record).start(order, timeoutMs),
		stop: (record, order, timeoutMs) => at(record).stop(order, timeoutMs),
		hold: (record, order, timeoutMs) => at(record).hold(order, timeoutMs),
		isReachable: record => Promise.resolve(!at(record).faults.isDead),
		forget: () => undefined,
	}
}
