/**
 * The demo: runs requests and jobs on a fleet of processes on loopback, and prints response times beside the ideal and
 * the number of attempts sent beside that needed.
 */
import {randomUUID} from "node:crypto"
import {request} from "undici"
import {submitJob, submitRequest, type CallerAnswer} from "../fleet/client.js"
import {startFleet, type Fleet} from "../fleet/fleet.js"

interface Row {
	readonly work: string
	readonly answers: number
	readonly whole: number
	readonly idealMs: number
	readonly medianMs: number
	readonly worstMs: number
}

const ROUNDS = 40
const REQUEST_MS = 50
const TASKS = 20

async function measure(
	work: string,
	idealMs: number,
	count: number,
	send: (index: number) => Promise<CallerAnswer>,
	isWhole: (answer: CallerAnswer) => boolean,
): Promise<Row> {
	const answers = await Promise.all(
		Array.from({length: count}, async (_, index) => {
			const startedAt = performance.now()
			const answer = await send(index)
			return {tookMs: performance.now() - startedAt, isWhole: isWhole(answer), answer}
		}),
	)
	const times = answers.map(answer => answer.tookMs).sort((a, b) => a - b)
	const broken = answers.find(answer => !answer.isWhole)
	if (broken) process.stdout.write(`not whole: ${JSON.stringify(broken.answer.body)}\n`)
	return {
		work,
		answers: answers.length,
		whole: answers.filter(answer => answer.isWhole).length,
		idealMs,
		medianMs: times[Math.floor(times.length / 2)]!,
		worstMs: times.at(-1)!,
	}
}

const isComplete = (answer: CallerAnswer) =>
	answer.status === 200 && answer.body.status === "complete"

function hasAllTasks(answer: CallerAnswer): boolean {
	const values = answer.body.value as readonly unknown[] | undefined
	return isComplete(answer) && values?.length === TASKS && values.every((value, i) => value === i)
}

async function runWork(fleet: Fleet): Promise<readonly Row[]> {
	const urlOf = (index: number) => fleet.entries[index % fleet.entries.length]!.url
	const payload = {ms: REQUEST_MS}
	const ids = Array.from({length: ROUNDS}, () => randomUUID())
	const tasks = Array.from({length: TASKS}, (_, i) => ({
		kind: "check",
		payload: {ms: 100, value: i},
	}))
	const sendOnce = (index: number) =>
		submitRequest(urlOf(index), {endpoint: "inventory", payload}, {id: ids[index % ROUNDS]})
	return [
		await measure(
			"repeatable request",
			REQUEST_MS,
			ROUNDS,
			index => submitRequest(urlOf(index), {endpoint: "inventory", payload, repeatable: true}),
			isComplete,
		),
		await measure("request that runs at most once", REQUEST_MS, ROUNDS / 2, sendOnce, isComplete),
		await measure(
			"the same ids again, elsewhere",
			0,
			ROUNDS / 2,
			index => submitRequest(urlOf(index + 1), {endpoint: "inventory", payload}, {id: ids[index]}),
			isComplete,
		),
		await measure(
			`job of ${TASKS} tasks`,
			100,
			4,
			index => submitJob(urlOf(index), {tasks}),
			hasAllTasks,
		),
	]
}

function printTable(rows: readonly Row[]) {
	const line = (cells: readonly string[]) =>
		process.stdout.write(
			`${cells[0]!.padEnd(32)}${cells
				.slice(1)
				.map(cell => cell.padStart(11))
				.join("")}\n`,
		)
	line(["work", "answers", "whole", "ideal ms", "median ms", "worst ms"])
	for (const row of rows) {
		const {work, answers, whole, idealMs, medianMs, worstMs} = row
		line([work, `${answers}`, `${whole}`, `${idealMs}`, medianMs.toFixed(1), worstMs.toFixed(1)])
	}
}

async function printMessages(fleet: Fleet) {
	const sums = new Map<string, number>()
	for (const entry of fleet.entries) {
		const res = await request(`${entry.url}/v1/counters`)
		const {counters} = (await res.body.json()) as {counters: Record<string, number>}
		for (const [name, value] of Object.entries(counters)) {
			sums.set(name, (sums.get(name) ?? 0) + value)
		}
	}
	const sent = sums.get("sent.attempts") ?? 0
	const needed = ROUNDS + ROUNDS / 2 + 4 * TASKS
	process.stdout.write(`\nattempts sent ${sent}, needed ${needed}\n`)
	for (const [name, value] of [...sums].sort()) {
		if (/^(wasted|retry|refusal|forwarded|joined|store\.call|journal)/.test(name)) {
			process.stdout.write(`  ${name} ${value}\n`)
		}
	}
}

async function main() {
	process.stdout.write("Starting 14 processes on loopback.\n")
	const fleet = await startFleet()
	try {
		const rows = await runWork(fleet)
		printTable(rows)
		await printMessages(fleet)
		process.exitCode = rows.every(row => row.whole === row.answers) ? 0 : 1
	} finally {
		await fleet.stop()
	}
}

await main()
