/**
 * Benchmark of two methods of making an intent durable: one compare-and-swap per submission, and the owner's journal,
 * which batches intents. The simulated store takes 4 ms per write and at most 300 writes per second.
 */
import {build} from "hdr-histogram-js"
import {openJournal, systemClock, type CreateResult} from "@cottonwood/core"
import {sleep} from "../utils/sleep.js"

interface MethodFigures {
	readonly way: string
	readonly perSecond: number
	readonly writesPerSubmission: number
	readonly p50Ms: number
	readonly p99Ms: number
}

const WRITE_MS = 4
const STORE_WRITES_PER_SECOND = 300
/** One of eight owners that share 240 writes per second. */
const JOURNAL_SPACING_MS = (8 * 1_000) / 240
const RUN_MS = 4_000
const US_PER_MS = 1_000

/** Creates a store that serves writes one after another at a fixed rate. */
function createStore() {
	let freeAt = 0
	let writes = 0
	return {
		writes: () => writes,
		async write() {
			writes++
			const now = performance.now()
			freeAt = Math.max(now, freeAt) + 1_000 / STORE_WRITES_PER_SECOND
			await sleep(Math.max(WRITE_MS, freeAt - now))
		},
	}
}

async function measure(way: string, perSecond: number): Promise<MethodFigures> {
	const store = createStore()
	const journal = openJournal({
		session: "s",
		clock: systemClock,
		random: Math.random,
		spacingMs: () => JOURNAL_SPACING_MS,
		lazyMs: 300,
		onSealed: () => undefined,
		async create(): Promise<CreateResult> {
			await store.write()
			return {type: "created"}
		},
	})
	const times = build({numberOfSignificantValueDigits: 3})
	const sends: Promise<void>[] = []
	const count = (perSecond * RUN_MS) / 1_000
	const startedAt = performance.now()
	const recordIntent = async (index: number) => {
		const from = performance.now()
		if (way === "journal") {
			await journal.append({type: "intent", key: `yard/${index}`, digest: "0".repeat(32)})
		} else await store.write()
		times.recordValue(Math.round((performance.now() - from) * US_PER_MS))
	}
	for (let index = 0; index < count; index++) {
		const waitMs = startedAt + (index * 1_000) / perSecond - performance.now()
		if (waitMs > 1) await sleep(waitMs)
		sends.push(recordIntent(index))
	}
	await Promise.all(sends)
	return {
		way,
		perSecond,
		writesPerSubmission: store.writes() / count,
		p50Ms: times.getValueAtPercentile(50) / US_PER_MS,
		p99Ms: times.getValueAtPercentile(99) / US_PER_MS,
	}
}

for (const perSecond of [20, 100, 250, 1_000]) {
	for (const way of ["compare-and-swap each", "journal"]) {
		process.stdout.write(`${JSON.stringify(await measure(way, perSecond))}\n`)
	}
}
