/**
 * Kept jobs of many short tasks are at work when the platform's store turns every call away for some seconds.
 */
import {runCase} from "../common/case.mjs"
import {sleep, startPlatform, until} from "../common/platform.mjs"
import {createClient, startSystem} from "../common/system.mjs"

/** `platform_down` of the site file: `for_s = 4.5`, `how = "busy"`. */
const DOWN_MS = 4_500
const JOBS = 8
/** The letter: "in jobs of up to 720 tasks". */
const STEP = {count: 720, cpu: 1_000, "mem-mb": 64, "est-ms": 300}
const SPEC = JSON.stringify({ms: 300})
const EXECUTORS = [{labels: ["a", "r1-1"]}, {labels: ["b", "r1-1"]}]

/** `TROUBLE=0` leaves the disruption out. */
const hasTrouble = process.env.TROUBLE !== "0"

await runCase(import.meta.url, async ({record, closing}) => {
	const platform = await startPlatform({
		record,
		zones: {"quito-sala-a": EXECUTORS, "quito-sala-b": EXECUTORS},
	})
	closing.push(() => platform.close())
	platform.putConfig(1)
	const system = await startSystem({
		platform,
		record,
		machines: [
			{name: "edge-quito-sala-a-1", zone: "quito-sala-a"},
			{name: "edge-quito-sala-a-2", zone: "quito-sala-a"},
			{name: "edge-quito-sala-b-1", zone: "quito-sala-b"},
			{name: "edge-quito-sala-b-2", zone: "quito-sala-b"},
		],
	})
	closing.push(() => system.close())
	if (!system.areReady) throw new Error("the system is not ready")
	await sleep(3_000)

	const client = createClient({record})
	const ids = Array.from({length: JOBS}, (_, at) => `5c0e7a21d94b36${(0xa0 + at).toString(16)}`)
	const {nodes} = system
	const accepted = await Promise.all(
		ids.map((id, at) =>
			client.handIn([nodes[at % 4], nodes[(at + 2) % 4]], id, {spec: SPEC, steps: [STEP]}),
		),
	)
	if (accepted.includes(false)) throw new Error("a job was not accepted")
	await sleep(500)
	if (hasTrouble) {
		record.note("the store is down", {forMs: DOWN_MS})
		platform.store.isDown = true
		await sleep(DOWN_MS)
		platform.store.isDown = false
		record.note("the store is back")
	}
	const statesOf = () => Promise.all(ids.map((id, at) => client.stateOf(nodes[at % 4], id)))
	const areOver = await until(async () => {
		await sleep(900)
		return (await statesOf()).every(state => state === "completed")
	}, 60_000)
	// What has ended is taken note of.
	await sleep(2_000)
	record.note("at the end", {areOver, states: await statesOf()})
	return doubled(platform.judge)
})

/** RULES.md, TWICE: "a start after a run has ended `done`, if that end is taken note of then or later" (not before). */
function doubled({tasks}) {
	const breaks = []
	for (const [task, {starts, ends}] of tasks)
		for (const {run, executor, at, over} of starts) {
			const done = ends.find(end => end.how === "done" && end.at < at && end.notedAt >= at)
			if (done)
				breaks.push(
					`TWICE: ${task} run ${run} at ${executor} started ${Math.round(at - done.at)} ms after run ${done.run} at ${done.executor} had ended done (N = ${done.n}), noted ${Math.round(done.notedAt - done.at)} ms after its end`,
				)
			const beside = starts.find(
				other => other.at > at && (over === undefined || other.at < over) && other.run !== run,
			)
			if (beside)
				breaks.push(`TWICE: ${task} runs ${run} and ${beside.run} were there at the same time`)
		}
	return breaks
}
