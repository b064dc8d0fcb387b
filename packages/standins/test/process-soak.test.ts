/**
 * Short soaks of the deployed bundle with fixed seeds, in which instances get SIGHUP with changed settings at any moment of
 * a life, start beside a socket that holds a port, and are ended while they start.
 */
import {runLeasedSoak, runRoughSoak} from "@cottonwood/standins"
import {expect} from "chai"
import {spawnSync} from "node:child_process"
import {tmpdir} from "node:os"
import {join} from "node:path"

/** Folder for the records of runs with violations. */
const KEPT_RUNS = join(tmpdir(), "cottonwood-soak")

function print(faults: readonly string[], verdict: object) {
	console.log(`        ${faults.join("; ")}`)
	console.log(`        ${JSON.stringify(verdict)}`)
}

describe("soak of processes", () => {
	before(() => {
		expect(spawnSync(process.execPath, ["scripts/bundle.mjs"]).status).to.equal(0)
	})

	/* Guards against processes that SIGHUP, a settings file being written or a taken port ends. */
	it("has no process ended by itself, with instances restarted and signalled one by one and together", async () => {
		const faults: string[] = []
		const onFault = (text: string) => void faults.push(text)
		const verdict = await runLeasedSoak({seed: 1, count: 2, processFaults: 10, onFault})
		print(faults, verdict)
		expect(verdict.violations).to.eql([])
		expect(verdict.processes.hangUps).to.be.greaterThan(verdict.processes.earlyHangUps)
		expect(verdict.completed).to.be.greaterThan(0)
	}).timeout(120_000)

	it("has no process ended by itself beside cuts, losses and pauses", async () => {
		const faults: string[] = []
		const onFault = (text: string) => void faults.push(text)
		const plan = {seed: 1, count: 4, processFaults: 12, callers: 20, keepIn: KEPT_RUNS, onFault}
		const verdict = await runRoughSoak(plan)
		print(faults, verdict)
		expect(verdict.violations).to.eql([])
		expect(verdict.processes.hangUps).to.be.greaterThan(verdict.processes.earlyHangUps)
	}).timeout(120_000)
})
