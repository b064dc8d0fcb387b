/**
 * A stand-in of an executor, written from PROTOCOL.md ("Running tasks"): fences, run numbers, leases on its own steady
 * clock, lists of running and ended tasks (500 ends at once), long-polling holds. It behaves soundly; faults are
 * crashes alone.
 */
/* global setTimeout, clearTimeout, setInterval, clearInterval, performance, Buffer */
import {createServer} from "node:http"

/** PROTOCOL.md: ends beyond `last-seen` come again, "500 at once". */
const ENDS_AT_ONCE = 500
const LEASE_CHECK_MS = 5
/** `stop-grace-ms` is 50: a stop takes less. */
const STOP_MS = 10
const MAX_WAIT_MS = 2_000

export class Executor {
	constructor({id, zone, labels, capacityCpu, maxHoldMs, judge}) {
		Object.assign(this, {id, zone, labels, capacityCpu, maxHoldMs, judge})
		this.address = undefined
		this.isUp = false
		this.fence = 0
		this.leaseUntil = 0
		/** How often the lease has run out; an end is not taken note of over such a gap. */
		this.lapses = 0
		this.hasLapsed = true
		this.running = new Map()
		this.ended = []
		this.serial = 0
		/** The highest run number stopped or ended here, by task. */
		this.closedRuns = new Map()
		this.waiting = new Set()
		this.offset = 100_000 + Math.floor(Math.random() * 100_000)
	}

	clock() {
		return Math.floor(performance.now() + this.offset)
	}

	/** Listens on a free port, or on that of a machine's earlier executor. */
	async begin(port = 0) {
		this.server = createServer((req, res) => {
			const chunks = []
			req.on("data", chunk => chunks.push(chunk))
			req.on("end", () => this.handle(req, Buffer.concat(chunks).toString("utf8"), res))
			req.on("error", () => undefined)
		})
		this.server.keepAliveTimeout = 120_000
		await new Promise((resolve, reject) => {
			this.server.once("error", reject)
			this.server.listen(port, "127.0.0.1", resolve)
		})
		this.port = this.server.address().port
		this.address = `127.0.0.1:${this.port}`
		this.isUp = true
		this.timer = setInterval(() => this.settle(), LEASE_CHECK_MS)
	}

	/** The process ends: its port is dead, its connections are reset, and all that ran there is gone. */
	crash() {
		this.isUp = false
		clearInterval(this.timer)
		for (const run of this.running.values()) {
			clearTimeout(run.timer)
			this.judge.onGone(this, run)
		}
		this.running.clear()
		this.server.close()
		this.server.closeAllConnections()
	}

	entry(seq) {
		return {
			service: this.service,
			address: this.address,
			zone: this.zone,
			version: "v1",
			slots: 8,
			state: "ready",
			"cold-left-ms": 0,
			capacity: {cpu: this.capacityCpu, "mem-mb": 131_072, gpu: 0},
			labels: this.labels,
			machine: this.machine,
			seq,
		}
	}

	answer(res, status, body) {
		if (res.destroyed) return
		const text = JSON.stringify({"clock-ms": this.clock(), ...body})
		res.writeHead(status, {"content-type": "application/json"})
		res.end(text)
	}

	handle(req, text, res) {
		if (!this.isUp) return res.destroy()
		const expected = req.headers["x-expect-instance"]
		if (expected !== undefined && expected !== this.id) return this.answer(res, 421, {})
		let order
		try {
			order = JSON.parse(text || "{}")
		} catch {
			return this.answer(res, 400, {})
		}
		this.settle()
		if ((order.fence ?? 0) < this.fence) return this.answer(res, 409, {reason: "fence"})
		this.fence = order.fence ?? 0
		if (req.method !== "POST") return this.answer(res, 404, {})
		if (req.url === "/run-start") return this.start(order, res)
		if (req.url === "/run-stop") return this.stop(order, res)
		if (req.url === "/hold") return this.hold(order, res)
		return this.answer(res, 404, {})
	}

	/** A lease never shortens, and one that is too long is cut. */
	extend(deadline) {
		if (deadline === undefined) return
		const until = Math.min(deadline, this.clock() + this.maxHoldMs)
		if (until <= this.leaseUntil) return
		this.leaseUntil = until
		this.hasLapsed = until < this.clock()
	}

	/** Ends everything once the lease is over. */
	settle() {
		if (this.hasLapsed || this.clock() <= this.leaseUntil) return
		this.hasLapsed = true
		this.lapses++
		for (const run of [...this.running.values()]) this.end(run, "lapsed")
	}

	start({task, run, spec, "deadline-ms": deadline}, res) {
		const isMalformed = typeof task !== "string" || typeof spec !== "string" || !(run > 0)
		if (isMalformed || deadline === undefined) return this.answer(res, 400, {})
		const there = this.running.get(task)
		if (there?.run === run) {
			this.extend(deadline)
			return this.answer(res, 200, {})
		}
		if (deadline <= this.clock()) return this.answer(res, 409, {reason: "late"})
		this.extend(deadline)
		const isOld = run <= (this.closedRuns.get(task) ?? 0) || (there && run < there.run)
		if (isOld) return this.answer(res, 409, {reason: "old"})
		const begun = {task, run, fence: this.fence, at: performance.now(), isStopping: false}
		const work = this.judge.onStart(this, begun, spec)
		begun.ms = work.ms
		if (work.ms !== Infinity) begun.timer = setTimeout(() => this.end(begun, work.how), work.ms)
		this.running.set(task, begun)
		return this.answer(res, 200, {})
	}

	stop({task, run}, res) {
		this.closedRuns.set(task, Math.max(this.closedRuns.get(task) ?? 0, run))
		const there = this.running.get(task)
		if (there && there.run <= run && !there.isStopping) {
			there.isStopping = true
			setTimeout(() => this.end(there, "stopped"), STOP_MS)
		}
		return this.answer(res, 200, {})
	}

	end(run, how) {
		if (this.running.get(run.task) !== run || !this.isUp) return
		clearTimeout(run.timer)
		this.running.delete(run.task)
		this.closedRuns.set(run.task, Math.max(this.closedRuns.get(run.task) ?? 0, run.run))
		const end = {n: ++this.serial, task: run.task, run: run.run, how, lapses: this.lapses}
		end.at = performance.now()
		this.ended.push(end)
		this.judge.onEnd(this, end)
		for (const wake of [...this.waiting]) wake()
	}

	async hold({"last-seen": seen = 0, "deadline-ms": deadline, "wait-ms": wait = 0}, res) {
		this.extend(deadline)
		const forgotten = this.ended.filter(({n}) => n <= seen)
		if (forgotten.length > 0) {
			this.ended = this.ended.filter(({n}) => n > seen)
			for (const end of forgotten) this.judge.onNoted(this, end, end.lapses !== this.lapses)
		}
		if (this.ended.length === 0 && wait > 0) await this.nextEnd(Math.min(wait, MAX_WAIT_MS))
		if (!this.isUp) return
		this.settle()
		const finished = this.ended.slice(0, ENDS_AT_ONCE)
		this.answer(res, 200, {
			running: [...this.running.values()].map(run => [run.task, run.run, "", this.percent(run)]),
			finished: finished.map(({n, task, run, how}) => [n, task, run, how, ""]),
		})
	}

	/** A task that lasts is at work once its short start is over. */
	percent({at, ms}) {
		const ranMs = performance.now() - at
		if (ms === Infinity) return ranMs > 100 ? 100 : 0
		return Math.max(0, Math.min(99, Math.floor((ranMs / ms) * 100)))
	}

	nextEnd(ms) {
		return new Promise(resolve => {
			const wake = () => {
				clearTimeout(timer)
				this.waiting.delete(wake)
				resolve()
			}
			const timer = setTimeout(wake, ms)
			this.waiting.add(wake)
		})
	}
}
