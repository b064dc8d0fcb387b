/**
 * Kept jobs whose tasks need a label that one executor has. That executor crashes while they run there, and is back
 * with the same label some seconds later.
 */
import {runCase} from "../common/case.mjs"
import {sleep, startPlatform, until} from "../common/platform.mjs"
import {createClient, startSystem} from "../common/system.mjs"

/** `srv_crash` of the site file: `for_s = 4.5`, `share = 0.14`; one of eight executors is 0.125. */
const DOWN_MS = 4_500
const JOBS = 1
/** Begins once the executor is back; longer than the 3 s of the rule, and than all bounds of the settings. */
const CALM_MS = 20_000
const ZONES = ["ibarra-patio", "latacunga-nodo", "quito-sala-a", "quito-sala-b"]
const LABELLED = "quito-sala-b"
const SPEC = JSON.stringify({ms: 2_000})
const STEP = {count: 2, cpu: 4_000, "mem-mb": 64, "est-ms": 2_000, constraints: "b"}

/** `TROUBLE=0` leaves the disruption out. */
const hasTrouble = process.env.TROUBLE !== "0"

await runCase(import.meta.url, async ({record, closing}) => {
	const labelsOf = (zone, at) => [zone === LABELLED && at === 0 ? "b" : "a", `r-${zone}-${at}`]
	const executorsOf = zone => [0, 1].map(at => ({labels: labelsOf(zone, at)}))
	const zones = Object.fromEntries(ZONES.map(zone => [zone, executorsOf(zone)]))
	const platform = await startPlatform({record, zones})
	closing.push(() => platform.close())
	platform.putConfig(1)
	const machines = ZONES.flatMap(zone => [1, 2].map(at => ({name: `edge-${zone}-${at}`, zone})))
	const system = await startSystem({platform, record, machines})
	closing.push(() => system.close())
	if (!system.areReady) throw new Error("the system is not ready")
	await sleep(4_000)

	const client = createClient({record})
	const {nodes} = system
	const ids = Array.from({length: JOBS}, (_, at) => `5c0e7a21d94b36${(0xb0 + at).toString(16)}`)
	const accepted = await Promise.all(
		ids.map((id, at) =>
			client.handIn([nodes[at], nodes[(at + 2) % 8]], id, {spec: SPEC, steps: [STEP]}),
		),
	)
	if (accepted.includes(false)) throw new Error("a job was not accepted")
	const labelled = () => platform.up().find(({labels}) => labels.includes("b"))
	const areRunning = await until(() => labelled().running.size === 2 * JOBS, 5_000)
	if (!areRunning) throw new Error("the tasks did not start")
	if (hasTrouble) platform.crash(labelled(), DOWN_MS)
	await sleep(DOWN_MS + 500)
	record.note("all executors are up", {labelled: labelled().id})
	await sleep(CALM_MS)

	const breaks = []
	const idle = labelled().running.size === 0
	for (const id of ids) {
		const done = [0, 1].map(
			at => platform.judge.of(`${id}.0.0.${at}`).ends.filter(({how}) => how === "done").length,
		)
		const states = []
		for (const node of nodes) states.push(await client.stateOf(node, id))
		record.note("at the end", {id, done, states})
		if (done.includes(0) && idle)
			breaks.push(
				`LOST: ${id} is accepted and not done, and has nothing running for ${CALM_MS} ms of calm, though the executor with its label is up and idle; shown as ${[...new Set(states)].join()}`,
			)
	}
	return breaks
})
