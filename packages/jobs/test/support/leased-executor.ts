/**
 * An in-memory executor that keeps the contract: it obeys only the highest fence, ends everything
 * when its lease is over, and forgets ends only when told. A test decides which orders are lost.
 */
import type {
	ExecutorOrders,
	ExecutorRecord,
	HoldOrder,
	HoldReply,
	RunEnd,
	StartOrder,
	StartReply,
	StopReply,
} from "@cottonwood/jobs"
import type {FakeClock} from "./fake-clock.js"
import {MAX_LISTED_ENDS} from "./fake-executors.js"

export interface AnyOrder {
	readonly type: "start" | "stop" | "hold"
	readonly fence: number
}

interface StopOrder {
	readonly task: string
	readonly run: number
	readonly fence: number
}

/** How often the lease is checked. */
const TICK_MS = 5

export class LeasedExecutor implements ExecutorOrders {
	/** Run numbers of the running tasks. */
	readonly running = new Map<string, number>()
	/** Tasks whose starts were carried out. */
	readonly started: string[] = []
	readonly stops: StopOrder[] = []
	/** Whether an order is lost on the way. */
	isLost: (order: AnyOrder) => boolean = () => false
	maxListedEnds = MAX_LISTED_ENDS
	private fence = 0
	private leaseUntilMs = -Infinity
	private ends: RunEnd[] = []
	private serial = 0
	private wakers: (() => void)[] = []

	constructor(private readonly clock: FakeClock) {
		this.watchLease()
	}

	end(task: string, how: RunEnd["how"]) {
		const run = this.running.get(task)
		if (run === undefined) return
		this.running.delete(task)
		this.ends.push({serial: ++this.serial, task, run, how})
		for (const wake of this.wakers.splice(0)) wake()
	}

	private watchLease() {
		if (this.clock.now() > this.leaseUntilMs)
			for (const task of [...this.running.keys()]) this.end(task, "lapsed")
		this.clock.schedule(TICK_MS, () => this.watchLease())
	}

	/** The reply of an order that is lost or fenced; undefined when it is to be carried out. */
	private async refusal(order: AnyOrder, timeoutMs: number) {
		if (this.isLost(order)) {
			await this.clock.sleep(timeoutMs)
			return {type: "silent", cause: "test"} as const
		}
		if (order.fence < this.fence) return {type: "fenced"} as const
		this.fence = order.fence
		return undefined
	}

	async start(
		_executor: ExecutorRecord,
		order: StartOrder,
		timeoutMs: number,
	): Promise<StartReply> {
		const refusal = await this.refusal({type: "start", fence: order.fence}, timeoutMs)
		if (refusal) return refusal
		this.leaseUntilMs = Math.max(this.leaseUntilMs, order.leaseUntilMs)
		this.running.set(order.task, order.run)
		this.started.push(order.task)
		return {type: "started", clockMs: this.clock.now()}
	}

	async stop(_executor: ExecutorRecord, order: StopOrder, timeoutMs: number): Promise<StopReply> {
		this.stops.push(order)
		const refusal = await this.refusal({type: "stop", fence: order.fence}, timeoutMs)
		if (refusal) return refusal
		if (this.running.get(order.task) === order.run) this.end(order.task, "stopped")
		return {type: "stopping", clockMs: this.clock.now()}
	}

	async hold(_executor: ExecutorRecord, order: HoldOrder, timeoutMs: number): Promise<HoldReply> {
		const refusal = await this.refusal({type: "hold", fence: order.fence}, timeoutMs)
		if (refusal) return refusal
		this.leaseUntilMs = Math.max(this.leaseUntilMs, order.leaseUntilMs ?? -Infinity)
		this.ends = this.ends.filter(({serial}) => serial > order.seenSerial)
		if (this.ends.length === 0 && order.waitMs > 0) await this.nextEnd(order.waitMs)
		else await this.clock.sleep(1)
		const running = [...this.running].map(([task, run]) => ({task, run, percent: 50}))
		const ends = this.ends.slice(0, this.maxListedEnds)
		return {type: "held", clockMs: this.clock.now(), running, ends}
	}

	async isReachable(): Promise<boolean> {
		return true
	}

	forget() {}

	private nextEnd(ms: number): Promise<void> {
		return new Promise(resolve => {
			this.wakers.push(resolve)
			this.clock.schedule(ms, resolve)
		})
	}
}

/** Sends each order to the executor that it names. */
export function ordersTo(at: (id: string) => LeasedExecutor): ExecutorOrders {
	return {
		maxListedEnds: MAX_LISTED_ENDS,
		start: (executor, order, ms) => at(executor.id).start(executor, order, ms),
		stop: (executor, order, ms) => at(executor.id).stop(executor, order, ms),
		hold: (executor, order, ms) => at(executor.id).hold(executor, order, ms),
		isReachable: async () => true,
		forget: () => undefined,
	}
}
