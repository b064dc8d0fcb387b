/**
 * A small stand-in of an executor, by PROTOCOL.md: fence, run numbers, lease, the lists of what runs and of what has ended.
 *
 * A task's spec is a text of its client: {"ms": work} or {"lasts": true}.
 */
/* global performance, setTimeout, clearTimeout, setInterval, clearInterval */
import {createServer} from "node:http"
import {listen, readBody, send} from "./store.mjs"

const MAX_HOLD_MS = 1_000
const STOP_MS = 10
const LISTED_ENDS = 500
const LASTING_START_MS = 200

/** One life of an executor: what it has in memory. */
function createLife({id, onStart, onEnd}) {
	const offset = Math.floor(Math.random() * 1e6)
	const running = new Map()
	const lastRun = new Map()
	let finished = []
	let serial = 0
	let highestFence = 0
	let leaseUntil = 0
	let isDead = false
	const waiting = new Set()
	const clock = () => Math.floor(performance.now() + offset)

	function end(task, run, how) {
		const known = running.get(task)
		if (known?.run !== run || isDead) return
		clearTimeout(known.timer)
		running.delete(task)
		finished.push([++serial, task, run, how, ""])
		onEnd(id, task, run, how)
		for (const wake of [...waiting]) wake()
	}

	const leaseTimer = setInterval(() => {
		if (clock() <= leaseUntil) return
		for (const {task, run} of [...running.values()]) end(task, run, "lapsed")
	}, 5)

	function extend(deadline) {
		if (deadline !== undefined)
			leaseUntil = Math.max(leaseUntil, Math.min(deadline, clock() + MAX_HOLD_MS))
	}

	function start({task, run, spec, fence, "deadline-ms": deadline}) {
		extend(deadline)
		if (running.get(task)?.run === run) return [200, {}]
		if (run <= (lastRun.get(task) ?? 0)) return [409, {reason: "old"}]
		if (deadline === undefined || deadline <= clock()) return [409, {reason: "late"}]
		const {ms, lasts} = JSON.parse(spec)
		const timer = lasts ? undefined : setTimeout(() => end(task, run, "done"), ms)
		lastRun.set(task, run)
		running.set(task, {task, run, ms, lasts, timer, startedAt: clock()})
		onStart(id, task, run, fence)
		return [200, {}]
	}

	function stop({task, run}) {
		lastRun.set(task, Math.max(run, lastRun.get(task) ?? 0))
		setTimeout(() => end(task, run, "stopped"), STOP_MS)
		return [200, {}]
	}

	function rows() {
		const percentOf = ({ms, lasts, startedAt}) => {
			const ranMs = clock() - startedAt
			return lasts ? (ranMs > LASTING_START_MS ? 100 : 0) : Math.min(99, (100 * ranMs) / ms)
		}
		return [...running.values()].map(row => [row.task, row.run, "", Math.floor(percentOf(row))])
	}

	function nextEnd(ms) {
		return new Promise(resolve => {
			const done = () => {
				clearTimeout(timer)
				waiting.delete(done)
				resolve()
			}
			const timer = setTimeout(done, ms)
			waiting.add(done)
		})
	}

	async function hold(order) {
		extend(order["deadline-ms"])
		finished = finished.filter(([n]) => n > (order["last-seen"] ?? 0))
		if (finished.length === 0 && order["wait-ms"]) await nextEnd(order["wait-ms"])
		return [200, {running: rows(), finished: finished.slice(0, LISTED_ENDS)}]
	}

	return {
		id,
		clock,
		tasks: () => [...running.keys()],
		async handle(path, expected, order) {
			if (expected !== undefined && expected !== id) return [421, {}]
			const fence = order.fence ?? 0
			if (fence < highestFence) return [409, {"clock-ms": clock(), reason: "fence"}]
			highestFence = fence
			const act = {"/run-start": start, "/run-stop": stop, "/hold": hold}[path]
			const [status, body] = act ? await act(order) : [404, {}]
			return [status, {"clock-ms": clock(), ...body}]
		},
		die() {
			isDead = true
			clearInterval(leaseTimer)
			for (const {task, run, timer} of running.values()) {
				clearTimeout(timer)
				onEnd(id, task, run, "crashed")
			}
			running.clear()
			for (const wake of [...waiting]) wake()
		},
		isDead: () => isDead,
	}
}

/**
 * Starts an executor and writes its entry into the store. `crash(downMs)` ends its process; a new one with another id follows at
 * the same address after that time, or never. The old entry goes after three heartbeats.
 */
export async function startExecutor({store, host, name, zone, service, labels, cpu, events}) {
	const heartbeatMs = 1_500
	let serial = 0
	let seq = 0
	let life
	let heartbeat
	let server
	let port = 0

	function writeEntry() {
		store.write(`servers/${life.id}`, {
			service,
			address: `${host}:${port}`,
			zone,
			version: "v1",
			slots: 8,
			state: "ready",
			"cold-left-ms": 0,
			capacity: {cpu, "mem-mb": 32_768, gpu: 0},
			labels,
			"clock-ms": life.clock(),
			seq: ++seq,
		})
	}

	async function begin() {
		life = createLife({id: `i-${name}-${++serial}`, ...events})
		const own = life
		server = createServer(async (req, res) => {
			const body = await readBody(req)
			const expected = req.headers["x-expect-instance"]
			const answer = await own.handle(req.url, expected, JSON.parse(body || "{}"))
			if (!own.isDead()) send(res, ...answer)
		})
		port = await listen(server, host, port)
		writeEntry()
		heartbeat = setInterval(writeEntry, heartbeatMs)
	}

	await begin()
	return {
		name,
		zone,
		id: () => life.id,
		tasks: () => life.tasks(),
		isDown: () => life.isDead(),
		/** The process ends without a word. */
		crash(downMs) {
			const {id} = life
			clearInterval(heartbeat)
			life.die()
			server.closeAllConnections()
			server.close()
			setTimeout(() => store.remove(`servers/${id}`), 3 * heartbeatMs).unref()
			if (downMs !== undefined) setTimeout(() => void begin(), downMs)
		},
		close() {
			clearInterval(heartbeat)
			life.die()
			server.closeAllConnections()
			server.close()
		},
	}
}
