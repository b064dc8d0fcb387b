/** A zone is lost, with its instances and its executors: the kept jobs that were accepted there are never run elsewhere. */
import {dirname} from "node:path"
import {fileURLToPath} from "node:url"
import {hasTrouble, newId, runCase, sleep, startWorld} from "../shared-2/world.mjs"

/** By the rule: 3 s on end without a run (a lasting task: from 6 s after its last run), these and the 4 s before calm. */
const AFTER_RUN_MS = 6_000
const IDLE_MS = 3_000
const CALM_MS = 4_000
/** How long the loss itself counts as a disruption: until the entries of the zone's executors are gone. */
const LOSS_MS = 4_500
const WATCHED_MS = 40_000
const ZONE = "ahm-hall"

const zone = () => ({instances: 2, executors: Array.from({length: 4}, () => ({}))})

await runCase(dirname(fileURLToPath(import.meta.url)), async record => {
	const zones = {[ZONE]: zone(), "gnr-hall": zone(), "vad-hall": zone()}
	const {clients, executors, instances, runs} = await startWorld({record, zones})
	const work = {cpu: 2_000, "mem-mb": 64}
	const bodies = [
		{steps: [{...work, count: 2, "est-ms": 1000, "long-running": true}], spec: {lasts: true}},
		{steps: [{...work, count: 4, "est-ms": 8000}], spec: {ms: 8_000}},
		{
			steps: [
				{...work, count: 1, "est-ms": 4000},
				{...work, count: 2, "est-ms": 4000, "after-rev": [0]},
			],
			spec: {ms: 4_000},
		},
	]
	const jobs = []
	for (const {steps, spec} of bodies) {
		const id = newId()
		const body = {spec: JSON.stringify(spec), steps}
		const {status} = await clients.handIn(id, body, {zone: ZONE})
		if (status !== 200) throw new Error(`a job was not accepted: ${status}`)
		jobs.push({id, idleSince: undefined, longestMs: 0, lasts: spec.lasts})
	}
	await sleep(2_000)
	if (jobs.some(({id}) => runs.liveOf(id).length === 0)) throw new Error("a job does not run")

	const lostAt = record.now()
	record.note("zone is lost", {zone: ZONE, trouble: hasTrouble})
	if (hasTrouble) {
		for (const one of instances) if (one.zone === ZONE) one.child.kill("SIGKILL")
		for (const one of executors) if (one.zone === ZONE) one.crash()
	}
	const near = instances.find(one => one.zone !== ZONE)
	const calmFrom = lostAt + LOSS_MS + CALM_MS
	while (record.now() < lostAt + WATCHED_MS) {
		await sleep(500)
		for (const job of jobs) {
			job.state = (await clients.ask(job.id, near)).state
			const isOver = job.state === "completed" || runs.liveOf(job.id).length > 0
			if (isOver) job.idleSince = undefined
			else job.idleSince ??= record.now()
			if (job.idleSince === undefined) continue
			const from = Math.max(job.idleSince + (job.lasts ? AFTER_RUN_MS : 0), calmFrom)
			job.longestMs = Math.max(job.longestMs, record.now() - from)
		}
	}
	return jobs
		.filter(({longestMs}) => longestMs >= IDLE_MS)
		.map(({id, longestMs, state}) => {
			const cores = runs.liveOf("").length * 2
			return `LOST: job ${id} (${state}) had nothing running for ${longestMs} ms of calm; ${cores} of 128 cores are in use`
		})
})
