import {
	createEstimates,
	createScheduler,
	WORKER_POOL,
	type Attempt,
	type AttemptResult,
	type Clock,
	type PeerRoom,
	type Target,
} from "@cottonwood/core"
import {expect} from "chai"

function worker(id: string, extra: Partial<Target> = {}): Target {
	return {
		id,
		type: "worker",
		endpoint: "",
		address: "http://127.0.0.1:1",
		failureDomain: "fd1",
		rack: `rack-${id}`,
		labels: {},
		capacity: {cpu: 2, memoryMb: 1_000, accelerators: 0},
		state: "live",
		...extra,
	}
}

let serial = 0

function attempt(extra: Partial<Attempt> = {}): Attempt {
	const id = `a${++serial}`
	return {
		id,
		key: "yard/job",
		task: 0,
		team: "yards",
		pool: WORKER_POOL,
		kind: "task:check",
		need: {cpu: 1, memoryMb: 10, accelerators: 0},
		selector: [],
		prefer: [],
		shape: "small",
		payload: null,
		avoid: [],
		deadlineAt: 60_000,
		costMs: 20,
		spreadRacks: false,
		mayRetry: true,
		isForwarded: false,
		mayLeaveDomain: true,
		...extra,
	}
}

function createWorld(peers: readonly PeerRoom[] = []) {
	let now = 0
	let timers: {readonly at: number; readonly callback: () => void}[] = []
	const clock: Clock = {
		now: () => now,
		wallNow: () => now,
		sleep: () => Promise.resolve(),
		schedule(ms, callback) {
			timers.push({at: now + ms, callback})
			return () => undefined
		},
	}
	const sent: {readonly target: string; readonly ids: readonly string[]}[] = []
	const forwarded: {readonly peer: string; readonly ids: readonly string[]}[] = []
	const results = new Map<string, AttemptResult>()
	const scheduler = createScheduler({
		clock,
		random: () => 0,
		estimates: createEstimates(),
		send: (target, attempts) => sent.push({target: target.id, ids: attempts.map(({id}) => id)}),
		forward: (peer, attempts) => forwarded.push({peer, ids: attempts.map(({id}) => id)}),
		stop: () => undefined,
		stopForwarded: () => undefined,
		peers: () => peers,
		weightOf: () => 1,
		maxRunning: () => Infinity,
		maxQueued: () => 100,
		maxQueuedTotal: () => 100,
		health: {maxAsideShare: () => 0.3, probeAfterMs: () => 1_000},
		onHealth: () => undefined,
		onPlaced: () => undefined,
		count: () => undefined,
	})
	return {
		scheduler,
		sent,
		forwarded,
		results,
		async submit(item: Attempt) {
			scheduler.submit(item, result => results.set(item.id, result))
			await Promise.resolve()
			return item
		},
		async advance(ms: number) {
			now += ms
			const due = timers.filter(timer => timer.at <= now)
			timers = timers.filter(timer => timer.at > now)
			for (const timer of due) timer.callback()
			await Promise.resolve()
		},
	}
}

const roomAt = (id: string, free: number, isSameDomain = true): PeerRoom => ({
	id,
	isSameDomain,
	free: new Map([[WORKER_POOL, free]]),
})

describe("the scheduler", () => {
	it("sends nothing to a full target, and places waiting attempts when it has room again", async () => {
		const world = createWorld()
		world.scheduler.setTargets([worker("w1")])
		const items = [attempt(), attempt(), attempt()]
		for (const item of items) await world.submit(item)
		expect(world.sent.flatMap(({ids}) => ids)).to.deep.equal([items[0]!.id, items[1]!.id])
		world.scheduler.settle(items[0]!.id, {type: "ok", value: 1, runMs: 10})
		await Promise.resolve()
		expect(world.sent.flatMap(({ids}) => ids)).to.include(items[2]!.id)
	})

	it("forwards at once when the only target here is leaving", async () => {
		const world = createWorld([roomAt("e2", 4)])
		world.scheduler.setTargets([worker("w1", {state: "leaving"})])
		const item = await world.submit(attempt())
		expect(world.forwarded).to.deep.equal([{peer: "e2", ids: [item.id]}])
	})

	it("forwards attempts that have waited, own failure domain first", async () => {
		const world = createWorld([roomAt("far", 9, false), roomAt("near", 1)])
		world.scheduler.setTargets([worker("w1")])
		for (let i = 0; i < 3; i++) await world.submit(attempt({costMs: 1}))
		expect(world.forwarded).to.have.length(0)
		await world.advance(60)
		expect(world.forwarded.map(({peer}) => peer)).to.deep.equal(["near"])
	})

	it("does not count a peer's room twice before the peer reports again", async () => {
		const world = createWorld([roomAt("e2", 1)])
		await world.submit(attempt())
		await world.submit(attempt())
		expect(world.forwarded).to.have.length(1)
		world.scheduler.onPeerRoomReport("e2", WORKER_POOL)
		await Promise.resolve()
		expect(world.forwarded).to.have.length(2)
	})

	it("returns a peer's attempt at once when no target fits, and later when all stay full", async () => {
		const world = createWorld()
		world.scheduler.setTargets([worker("w1", {capacity: {cpu: 1, memoryMb: 100, accelerators: 0}})])
		const huge = {cpu: 9, memoryMb: 1, accelerators: 0}
		const tooLarge = await world.submit(attempt({isForwarded: true, need: huge}))
		expect(world.results.get(tooLarge.id)).to.include({type: "not started", reason: "peer full"})
		await world.submit(attempt())
		const late = await world.submit(attempt({isForwarded: true}))
		await world.advance(50)
		expect(world.results.has(late.id)).to.equal(false)
		await world.advance(500)
		expect(world.results.get(late.id)).to.include({type: "not started", reason: "peer full"})
	})

	it("spreads a job over racks on request and keeps accelerators for tasks that need them", async () => {
		const world = createWorld()
		world.scheduler.setTargets([
			worker("w1", {rack: "r1", capacity: {cpu: 8, memoryMb: 1_000, accelerators: 0}}),
			worker("w2", {rack: "r2", capacity: {cpu: 8, memoryMb: 1_000, accelerators: 0}}),
			worker("gpu", {rack: "r3", capacity: {cpu: 8, memoryMb: 1_000, accelerators: 2}}),
		])
		for (let i = 0; i < 4; i++) await world.submit(attempt({spreadRacks: true}))
		const racks = world.sent.map(({target}) => target)
		expect(racks.filter(name => name === "w1")).to.have.length(2)
		expect(racks.filter(name => name === "w2")).to.have.length(2)
		const needy = {cpu: 1, memoryMb: 1, accelerators: 1}
		await world.submit(attempt({need: needy, shape: "gpu"}))
		expect(world.sent.at(-1)!.target).to.equal("gpu")
	})

	it("refuses attempts that cannot meet their deadline, with a retry-after time", async () => {
		const world = createWorld()
		world.scheduler.setTargets([worker("w1")])
		for (let i = 0; i < 40; i++) await world.submit(attempt({costMs: 1_000}))
		const query = {
			pool: WORKER_POOL,
			team: "yards",
			attempts: 1,
			deadlineAt: 2_000,
			kind: "task:check",
		}
		const refused = world.scheduler.admit(query)._unsafeUnwrapErr()
		expect(refused.kind).to.equal("deadline_unreachable")
		expect(refused.retryAfterMs).to.be.greaterThan(0)
		expect(world.scheduler.admit({...query, deadlineAt: 90_000}).isOk()).to.equal(true)
	})

	it("drops the queued attempts of a cancelled submission and leaves the others", async () => {
		const world = createWorld()
		const mine = await world.submit(attempt({key: "yard/mine"}))
		const other = await world.submit(attempt({key: "yard/other"}))
		world.scheduler.cancel("yard/mine")
		expect(world.results.get(mine.id)).to.include({reason: "cancelled"})
		expect(world.results.has(other.id)).to.equal(false)
	})

	it("does not count a stopped attempt against its target's health", async () => {
		const world = createWorld()
		const names = ["w1", "w2", "w3", "w4", "w5"]
		world.scheduler.setTargets(names.map(name => worker(name)))
		const runOn = async (target: string, end: AttemptResult, isStopped: boolean) => {
			const key = `yard/${target}-${serial}`
			const item = await world.submit(attempt({key, avoid: names.filter(name => name !== target)}))
			if (isStopped) world.scheduler.cancel(key)
			world.scheduler.settle(item.id, end)
		}
		for (let i = 0; i < 8; i++) {
			for (const name of names.slice(1)) await runOn(name, {type: "ok", value: 1, runMs: 1}, false)
			await runOn("w1", {type: "failed", detail: "stopped"}, true)
		}
		expect(world.scheduler.snapshot().aside).to.equal(0)
		for (let i = 0; i < 8; i++) await runOn("w1", {type: "failed", detail: "broken"}, false)
		expect(world.scheduler.snapshot().aside).to.equal(1)
	})
})
