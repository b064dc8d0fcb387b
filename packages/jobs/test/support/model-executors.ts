/**
 * Executors in virtual time that keep the users' pages: fences, run numbers, leases, 500 listed ends, and lives that crash or
 * leave. Everything that they see goes into a history, which `kept-verdict.ts` judges.
 */
import type {
	ExecutorOrders,
	ExecutorRecord,
	HoldOrder,
	HoldReply,
	RunEnd,
	RunEndKind,
	StartOrder,
	StartReply,
	StopReply,
} from "@cottonwood/jobs"
import type {FakeClock} from "./fake-clock.js"

const MAX_LISTED_ENDS = 500
const MAX_LEASE_MS = 1_000
const STOP_MS = 20
const TICK_MS = 20
const REFUSAL_MS = 2
/** How long a run takes on an executor that fails all it starts. */
const FAILING_MS = 50

/** Names the gang of one run. */
const gangOf = (task: string, run: number) => `${task.slice(0, task.lastIndexOf("."))}/${run}`

/** What becomes of a run; `afterMs` is Infinity for one that lasts. */
export interface Outcome {
	readonly how: "done" | "failed"
	readonly afterMs: number
	/** Whether it lasts, also if it fails in the end; its progress is that it is at work. */
	readonly isLasting?: boolean
	/** Members of its gang, which work only once all of one run are there, and end together. */
	readonly gangSize?: number
}

export type HistoryEvent =
	| {
			readonly type: "start"
			readonly at: number
			readonly executor: ExecutorRecord
			readonly task: string
			readonly run: number
	  }
	| {
			readonly type: "end"
			readonly at: number
			readonly executor: string
			readonly task: string
			readonly run: number
			readonly how: RunEndKind | "crashed"
			readonly serial: number
	  }
	/** The executor's lease is over. */
	| {readonly type: "lapse"; readonly at: number; readonly executor: string}
	/** The executor may forget its ends up to a serial. */
	| {
			readonly type: "noted"
			readonly at: number
			readonly executor: string
			readonly serial: number
	  }

interface ModelRun {
	readonly run: number
	readonly startedAt: number
	endsAt: number
	readonly how: RunEndKind
	stopAt: number
	readonly isLasting: boolean
	readonly gang: string | undefined
}

class ModelExecutor {
	isCut = false
	/** `refusing`: nothing listens at its address; `replaced`: another life does. */
	gone: "refusing" | "replaced" | undefined
	failsAll = false
	fence = 0
	leaseUntil = -Infinity
	hasLapsed = true
	readonly runs = new Map<string, ModelRun>()
	readonly lastRuns = new Map<string, number>()
	ends: RunEnd[] = []
	serial = 0
	noted = 0
	wakers: (() => void)[] = []
	constructor(readonly record: ExecutorRecord) {}
}

export class ModelFleet implements ExecutorOrders {
	readonly maxListedEnds = MAX_LISTED_ENDS
	readonly history: HistoryEvent[] = []
	private readonly executors = new Map<string, ModelExecutor>()

	constructor(
		private readonly clock: FakeClock,
		private readonly outcomeOf: (task: string, run: number) => Outcome,
	) {
		const tick = () => {
			for (const executor of this.executors.values()) this.settle(executor)
			clock.schedule(TICK_MS, tick)
		}
		tick()
	}

	add(record: ExecutorRecord) {
		this.executors.set(record.id, new ModelExecutor(record))
	}

	of(id: string): ModelExecutor {
		return this.executors.get(id) as ModelExecutor
	}

	/** Ends an executor's process with all its runs. */
	crash(id: string, gone: "refusing" | "replaced") {
		const executor = this.of(id)
		const gangs = [...executor.runs.values()].map(run => run.gang)
		for (const [task, {run}] of executor.runs) this.note(executor, task, run, "crashed", 0)
		executor.runs.clear()
		executor.gone = gone
		for (const gang of gangs) this.endGang(gang, "broken")
		this.wake(executor)
	}

	async start({id}: ExecutorRecord, order: StartOrder, timeoutMs: number): Promise<StartReply> {
		const executor = this.of(id)
		const lost = await this.lose(executor, timeoutMs)
		if (lost) return lost
		if (order.fence < executor.fence) return {type: "fenced"}
		executor.fence = order.fence
		const {task, run, leaseUntilMs} = order
		const refuse = (cause: "late" | "old") =>
			({type: "refused", cause, clockMs: this.clock.now()}) as const
		if (leaseUntilMs <= this.clock.now()) return refuse("late")
		this.renew(executor, leaseUntilMs)
		if (executor.runs.get(task)?.run !== run) {
			if (run <= (executor.lastRuns.get(task) ?? 0)) return refuse("old")
			this.begin(executor, task, run)
		}
		return {type: "started", clockMs: this.clock.now()}
	}

	async stop(
		{id}: ExecutorRecord,
		order: {readonly task: string; readonly run: number; readonly fence: number},
		timeoutMs: number,
	): Promise<StopReply> {
		const executor = this.of(id)
		const lost = await this.lose(executor, timeoutMs)
		if (lost) return lost
		if (order.fence < executor.fence) return {type: "fenced"}
		executor.fence = order.fence
		const {task, run} = order
		executor.lastRuns.set(task, Math.max(run, executor.lastRuns.get(task) ?? 0))
		const running = executor.runs.get(task)
		if (running?.run === run) running.stopAt = Math.min(running.stopAt, this.clock.now() + STOP_MS)
		return {type: "stopping", clockMs: this.clock.now()}
	}

	async hold({id}: ExecutorRecord, order: HoldOrder, timeoutMs: number): Promise<HoldReply> {
		const executor = this.of(id)
		const lost = await this.lose(executor, timeoutMs)
		if (lost) return lost
		if (order.fence < executor.fence) return {type: "fenced"}
		executor.fence = order.fence
		if (order.leaseUntilMs !== undefined) this.renew(executor, order.leaseUntilMs)
		this.forgetUpTo(executor, order.seenSerial)
		if (executor.ends.length === 0 && order.waitMs > 0) await this.nextEnd(executor, order.waitMs)
		else await this.clock.sleep(1)
		const lostMeanwhile = await this.lose(executor, timeoutMs)
		if (lostMeanwhile) return lostMeanwhile
		if (order.fence < executor.fence) return {type: "fenced"}
		const percentOf = ({startedAt, endsAt, isLasting}: ModelRun) =>
			isLasting || endsAt === Infinity
				? 100
				: Math.floor((99 * (this.clock.now() - startedAt)) / (endsAt - startedAt))
		const running = [...executor.runs].map(([task, run]) => ({
			task,
			run: run.run,
			percent: percentOf(run),
		}))
		const ends = executor.ends.slice(0, MAX_LISTED_ENDS)
		return {type: "held", clockMs: this.clock.now(), running, ends}
	}

	async isReachable({id}: ExecutorRecord): Promise<boolean> {
		return !this.of(id).isCut && !this.of(id).gone
	}

	forget() {}

	private async lose(executor: ModelExecutor, timeoutMs: number) {
		this.settle(executor)
		if (executor.isCut) {
			await this.clock.sleep(timeoutMs)
			return {type: "silent", cause: "cut"} as const
		}
		if (executor.gone === "replaced") return {type: "replaced"} as const
		if (!executor.gone) return undefined
		await this.clock.sleep(REFUSAL_MS)
		return {type: "silent", cause: "refused", isRefused: true} as const
	}

	private renew(executor: ModelExecutor, untilMs: number) {
		const longest = this.clock.now() + MAX_LEASE_MS
		executor.leaseUntil = Math.max(executor.leaseUntil, Math.min(untilMs, longest))
		executor.hasLapsed = false
	}

	private begin(executor: ModelExecutor, task: string, run: number) {
		const outcome = this.outcomeOf(task, run)
		const {gangSize, isLasting = false} = outcome
		const afterMs = executor.failsAll ? FAILING_MS : outcome.afterMs
		const how = executor.failsAll ? "failed" : outcome.how
		const at = this.clock.now()
		const gang = gangSize === undefined ? undefined : gangOf(task, run)
		const endsAt = gang === undefined || executor.failsAll ? at + afterMs : Infinity
		executor.runs.set(task, {run, startedAt: at, endsAt, how, stopAt: Infinity, isLasting, gang})
		executor.lastRuns.set(task, run)
		const members = gang === undefined ? [] : this.membersOf(gang)
		if (members.length === gangSize)
			for (const {own} of members) own.endsAt = Math.min(own.endsAt, at + afterMs)
		this.history.push({type: "start", at, executor: executor.record, task, run})
	}

	private forgetUpTo(executor: ModelExecutor, serial: number) {
		if (serial <= executor.noted) return
		executor.noted = serial
		executor.ends = executor.ends.filter(end => end.serial > serial)
		const at = this.clock.now()
		this.history.push({type: "noted", at, executor: executor.record.id, serial})
	}

	private settle(executor: ModelExecutor) {
		const now = this.clock.now()
		for (const [task, run] of executor.runs) {
			const endsAt = Math.min(run.endsAt, run.stopAt)
			if (endsAt <= Math.min(now, executor.leaseUntil))
				this.end(executor, task, run.run, run.endsAt <= run.stopAt ? run.how : "stopped")
			else if (now > executor.leaseUntil) this.end(executor, task, run.run, "lapsed")
		}
		if (executor.hasLapsed || now <= executor.leaseUntil) return
		executor.hasLapsed = true
		this.history.push({type: "lapse", at: now, executor: executor.record.id})
	}

	private membersOf(gang: string) {
		return [...this.executors.values()].flatMap(executor =>
			[...executor.runs]
				.filter(([, own]) => own.gang === gang)
				.map(([task, own]) => ({executor, task, own})),
		)
	}

	/** One end stands for all members of a gang. */
	private endGang(gang: string | undefined, how: RunEndKind) {
		if (gang === undefined) return
		for (const {executor, task, own} of this.membersOf(gang)) this.end(executor, task, own.run, how)
	}

	private end(executor: ModelExecutor, task: string, run: number, how: RunEndKind) {
		const gang = executor.runs.get(task)?.gang
		executor.runs.delete(task)
		this.endGang(gang, how === "done" ? "done" : "broken")
		const serial = ++executor.serial
		executor.ends.push({serial, task, run, how})
		this.note(executor, task, run, how, serial)
		this.wake(executor)
	}

	private note(
		{record}: ModelExecutor,
		task: string,
		run: number,
		how: RunEndKind | "crashed",
		serial: number,
	) {
		const at = this.clock.now()
		this.history.push({type: "end", at, executor: record.id, task, run, how, serial})
	}

	private wake(executor: ModelExecutor) {
		for (const wake of executor.wakers) wake()
		executor.wakers = []
	}

	private nextEnd(executor: ModelExecutor, ms: number): Promise<void> {
		return new Promise(resolve => {
			executor.wakers.push(resolve)
			this.clock.schedule(ms, resolve)
		})
	}
}
