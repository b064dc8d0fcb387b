/**
 * The event log: bounded, sampled and non-blocking.
 */
import {createEventLog, createJobMetrics} from "@cottonwood/jobs"
import {BoundedOutput} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import Transport from "winston-transport"

class Collector extends Transport {
	readonly lines: Record<string, unknown>[] = []

	override log(info: Record<symbol, string>, next: () => void) {
		this.lines.push(JSON.parse(info[Symbol.for("message")] as string))
		next()
	}
}

describe("event log", () => {
	it("writes lines of one kind up to its rate, then a sample with the number of skipped lines", () => {
		const output = new Collector()
		const log = createEventLog({instance: "a-1", linesPerKindPerSecond: 50}, output)
		for (let at = 0; at < 1_000; at++) log.event("job", "busy", "job: busy.", {count: at})
		expect(output.lines.length).to.be.lessThan(110)
		const sampledOut = output.lines.reduce((sum, line) => sum + Number(line["sampledOut"] ?? 0), 0)
		expect(sampledOut + output.lines.length).to.be.within(980, 1_000)
	})

	it("does not sample alarms or affect other kinds", () => {
		const output = new Collector()
		const log = createEventLog({instance: "a-1", linesPerKindPerSecond: 10}, output)
		for (let at = 0; at < 200; at++) log.alarm("job", "lost", "job: lost.", {job: String(at)})
		for (let at = 0; at < 100; at++) log.event("job", "busy", "job: busy.")
		log.event("job", "rare", "job: rare.")
		expect(output.lines.filter(line => line["kind"] === "lost")).to.have.length(200)
		expect(output.lines.at(-1)?.["kind"]).to.equal("rare")
	})

	it("drops and counts lines that a stalled reader does not take, without blocking", async () => {
		const written: string[] = []
		let finish: (() => void) | undefined
		const output = new BoundedOutput((bytes, done) => {
			written.push(bytes.toString("utf8"))
			finish = () => done(null, bytes.length)
		})
		const log = createEventLog({instance: "a-1", linesPerKindPerSecond: 1e9}, output)
		const before = performance.now()
		for (let at = 0; at < 20_000; at++)
			log.event("placer", "task_started", "placer: starts a task.", {job: "00000000000000aa"})
		const tookMs = performance.now() - before
		console.log(`        ${((tookMs / 20_000) * 1_000).toFixed(1)} us a line`)
		expect(tookMs).to.be.lessThan(4_000)
		// The reader takes nothing: one write is in flight and no second one begins.
		await new Promise(resolve => setTimeout(resolve, 300))
		expect(written).to.have.length(1)
		expect(output.isStalled()).to.equal(false)
		await new Promise(resolve => setTimeout(resolve, 500))
		expect(output.isStalled()).to.equal(true)
		log.event("placer", "task_started", "placer: starts a task.")
		finish?.()
		await new Promise(resolve => setTimeout(resolve, 300))
		expect(written.join("")).to.include('"kind":"lines_dropped"')
		const bytes = written.reduce((sum, text) => sum + text.length, 0)
		expect(bytes).to.be.lessThan(2_200_000)
	})
})

describe("metrics", () => {
	it("count by reason and read gauges on request", async () => {
		const metrics = createJobMetrics()
		metrics.count("jobs_refused", "overloaded")
		metrics.count("jobs_refused", "overloaded")
		metrics.observe("run_ms", 12)
		metrics.gauge("tasks_waiting", () => 5)
		const text = await metrics.text()
		expect(text).to.include('cottonwood_jobs_refused{reason="overloaded"} 2')
		expect(text).to.include("cottonwood_tasks_waiting 5")
		expect(text).to.match(/cottonwood_run_ms_count 1/)
	})
})
