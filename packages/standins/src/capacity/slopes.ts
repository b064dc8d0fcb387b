/**
 * Measures costs of the core for docs/CAPACITY.md. Each cost is measured in this process at several sizes, and a line
 * is fitted through the medians.
 */
import {
	assignEvenly,
	createEstimates,
	createExplainer,
	createFairQueue,
	createOwner,
	createScheduler,
	emptyOwnership,
	moveShards,
	openJournal,
	submissionKey,
	systemClock,
	WORKER_POOL,
	type Attempt,
	type Target,
} from "@cottonwood/core"
import {ok} from "neverthrow"
import {seededRandom} from "../utils/random.js"

export interface Slope {
	readonly name: string
	readonly unit: string
	readonly of: string
	readonly sizes: readonly number[]
	readonly values: readonly number[]
	/** Value at size 0 and growth per unit of size. */
	readonly base: number
	readonly perSize: number
}

const REPEATS = 5

function median(values: readonly number[]): number {
	return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!
}

/** Fits a line by least squares. */
function fit(sizes: readonly number[], values: readonly number[]) {
	const n = sizes.length
	const meanX = sizes.reduce((a, b) => a + b, 0) / n
	const meanY = values.reduce((a, b) => a + b, 0) / n
	let above = 0
	let below = 0
	for (let i = 0; i < n; i++) {
		above += (sizes[i]! - meanX) * (values[i]! - meanY)
		below += (sizes[i]! - meanX) ** 2
	}
	const perSize = above / below
	return {perSize, base: meanY - perSize * meanX}
}

async function slope(
	name: string,
	unit: string,
	of: string,
	sizes: readonly number[],
	measure: (size: number) => Promise<number> | number,
): Promise<Slope> {
	const values: number[] = []
	for (const size of sizes) {
		const runs: number[] = []
		for (let i = 0; i < REPEATS; i++) runs.push(await measure(size))
		values.push(median(runs))
	}
	return {name, unit, of, sizes, values, ...fit(sizes, values)}
}

function timeUs(count: number, run: () => void): number {
	const startedAt = process.cpuUsage()
	for (let i = 0; i < count; i++) run()
	const {user, system} = process.cpuUsage(startedAt)
	return (user + system) / count
}

function workerOf(index: number): Target {
	return {
		id: `fd${index % 5}-worker-${index}`,
		type: "worker",
		endpoint: "",
		address: `http://10.0.${index % 250}.${index % 200}:9000`,
		failureDomain: `fd${index % 5}`,
		rack: `rack-${index % 60}`,
		labels: {zone: "north", disk: "ssd"},
		capacity: {cpu: 64, memoryMb: 128_000, accelerators: index % 2},
		state: "live",
	}
}

const targetsOf = (count: number) => Array.from({length: count}, (_, i) => workerOf(i))

function attemptOf(index: number, team: string): Attempt {
	return {
		id: `a${index}`,
		key: `caller/job-${Math.floor(index / 100)}`,
		task: index % 100,
		team,
		pool: WORKER_POOL,
		kind: "task:check",
		need: {cpu: 1, memoryMb: 512, accelerators: 0},
		selector: [],
		prefer: [],
		shape: "1/512/0",
		payload: null,
		avoid: [],
		deadlineAt: Infinity,
		costMs: 100,
		spreadRacks: false,
		mayRetry: true,
		isForwarded: false,
		mayLeaveDomain: false,
	}
}

/** Places and settles batches of 100 attempts. Returns processor microseconds per placement. */
async function placementUs(targets: number): Promise<number> {
	const sent: string[] = []
	const scheduler = createScheduler({
		clock: systemClock,
		random: seededRandom(1),
		estimates: createEstimates(),
		send: (_target, attempts) => sent.push(...attempts.map(attempt => attempt.id)),
		forward: () => undefined,
		stop: () => undefined,
		stopForwarded: () => undefined,
		peers: () => [],
		weightOf: () => 1,
		maxRunning: () => Infinity,
		maxQueued: () => Infinity,
		maxQueuedTotal: () => Infinity,
		health: {maxAsideShare: () => 0.3, probeAfterMs: () => 5_000},
		onHealth: () => undefined,
		onPlaced: () => undefined,
		count: () => undefined,
	})
	scheduler.setTargets(targetsOf(targets))
	const batches = 60
	const startedAt = process.cpuUsage()
	for (let batch = 0; batch < batches; batch++) {
		for (let i = 0; i < 100; i++) {
			scheduler.submit(attemptOf(batch * 100 + i, "team"), () => undefined)
		}
		await Promise.resolve()
		for (const id of sent.splice(0)) scheduler.settle(id, {type: "ok", value: 1, runMs: 100})
	}
	const {user, system} = process.cpuUsage(startedAt)
	return (user + system) / (batches * 100)
}

function queueUs(teams: number): number {
	const queue = createFairQueue<Attempt>()
	const count = 2_000
	const us = timeUs(1, () => {
		for (let i = 0; i < count; i++) queue.push(attemptOf(i, `team-${i % teams}`))
		queue.drain(
			() => true,
			() => 1,
		)
	})
	return us / count
}

/** Returns the heap bytes that an owner retains for the submissions, or NaN when it did not keep them all. */
async function ownerBytes(submissions: number): Promise<number> {
	const journal = openJournal({
		session: "s",
		clock: systemClock,
		random: seededRandom(1),
		spacingMs: () => 0,
		lazyMs: 1_000_000,
		onSealed: () => undefined,
		create: () => Promise.resolve({type: "created"}),
	})
	const owner = createOwner({
		clock: systemClock,
		random: seededRandom(1),
		isOwned: () => true,
		journal: () => journal,
		execute: () => Promise.resolve({ok: true, value: {lot: "A-7", boards: 12}}),
		admit: () => ok(undefined),
		askPastOwner: () => Promise.resolve(undefined),
		retentionMs: () => 600_000,
		explainer: createExplainer(Date.now),
		count: () => undefined,
	})
	globalThis.gc?.()
	const before = process.memoryUsage().heapUsed
	const deadlineAt = Infinity
	for (let from = 0; from < submissions; from += 500) {
		await Promise.all(
			Array.from({length: Math.min(500, submissions - from)}, (_, i) => {
				const key = submissionKey("yard", `0190-${from + i}-4f6a-8000-0123456789ab`)
				const head = {key, digest: "0".repeat(32), team: "t", deadlineAt, repeatable: false}
				const request = {endpoint: "inventory", payload: null}
				return owner.submit({head, type: "request", request})
			}),
		)
	}
	await journal.flush()
	globalThis.gc?.()
	const used = process.memoryUsage().heapUsed - before
	return owner.size() === submissions ? used : Number.NaN
}

function listBytes(targets: number): number {
	return Buffer.byteLength(JSON.stringify({instances: targetsOf(targets)}))
}

function listUs(targets: number): number {
	const text = JSON.stringify({instances: targetsOf(targets)})
	const members = ["e1", "e2", "e3", "e4"]
	return timeUs(20, () => {
		const {instances} = JSON.parse(text) as {instances: Target[]}
		const ids = instances.map(target => target.id)
		assignEvenly(ids, members)
	})
}

/** Returns the size in bytes of the ownership map after the given number of sessions. */
function mapBytes(sessions: number): number {
	let map = emptyOwnership()
	for (let i = 0; i < sessions; i++) {
		const moves = map.shards.flatMap((_, shard) =>
			shard % 16 === i % 16 ? [{shard, to: `fd${i % 5}-entry-${i % 4}.${i}abcdef0`}] : [],
		)
		map = moveShards(map, moves, "nonce", i, 1_000_000)
	}
	return Buffer.byteLength(JSON.stringify(map))
}

function recordBytes(records: number): number {
	const key = submissionKey("yard", "01901234-5678-7abc-8000-0123456789ab")
	const value = {lot: "A-7", boards: 12}
	const list = Array.from({length: records / 2}, () => [
		{type: "intent", key, digest: "0".repeat(32)},
		{type: "done", key, outcome: {ok: true, value}},
	]).flat()
	return Buffer.byteLength(JSON.stringify({nonce: "session:1", at: 1, records: list}))
}

export async function measureSlopes(): Promise<readonly Slope[]> {
	return [
		await slope("placement", "us per placement", "targets", [50, 100, 200, 400], placementUs),
		await slope("fair queue", "us per attempt", "teams", [5, 20, 80], queueUs),
		await slope("owner's table", "bytes", "submissions", [5_000, 10_000, 20_000], ownerBytes),
		await slope(
			"instance list",
			"bytes per reading",
			"targets",
			[300, 600, 1_200, 2_400],
			listBytes,
		),
		await slope("instance list", "us per reading", "targets", [300, 600, 1_200, 2_400], listUs),
		await slope("ownership map", "bytes", "sessions in retention", [8, 16, 32], mapBytes),
		await slope("journal", "bytes per write", "records", [10, 100, 1_000], recordBytes),
	]
}
