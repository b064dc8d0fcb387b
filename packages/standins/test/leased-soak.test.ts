/**
 * Short soaks of the program on the platform stand-in, with fixed seeds.
 */
import {runLeasedSoak, runRoughSoak} from "@cottonwood/standins"
import {expect} from "chai"
import {tmpdir} from "node:os"
import {join} from "node:path"

/** Folder for the records of runs with violations. */
const KEPT_RUNS = join(tmpdir(), "cottonwood-soak")

/** Prints the faults and the verdict, and expects no violation and at least one completed job. */
function expectKept(
	verdict: {readonly violations: readonly string[]; readonly completed: number},
	faults: readonly string[],
) {
	console.log(`        ${faults.join("; ")}`)
	console.log(`        ${JSON.stringify(verdict)}`)
	expect(verdict.violations).to.eql([])
	expect(verdict.completed).to.be.greaterThan(0)
}

describe("soak on the users' platform", () => {
	it("violates no guarantee under a few faults of a fixed seed", async () => {
		const faults: string[] = []
		const verdict = await runLeasedSoak({
			seed: 205,
			count: 6,
			faultMs: 1_000,
			onFault: text => void faults.push(text),
		})
		expectKept(verdict, faults)
	}).timeout(120_000)

	it("violates no guarantee while instances are cut off, paused and lost together", async () => {
		const faults: string[] = []
		const verdict = await runRoughSoak({
			seed: 1,
			count: 16,
			keepIn: KEPT_RUNS,
			onFault: text => void faults.push(text),
		})
		expectKept(verdict, faults)
		expect(verdict.unready).to.eql([])
	}).timeout(120_000)

	/* Guards against runs that are not counted as possible crashes when a placer loses them unnoticed. */
	it("starts no crashing task more than five times, whoever loses its runs", async () => {
		const verdict = await runLeasedSoak({seed: 3503, connectionFaults: 3, machineFaults: 6})
		console.log(`        ${JSON.stringify(verdict)}`)
		expect(verdict.violations).to.eql([])
	}).timeout(120_000)

	it("violates no guarantee while domains are evacuated, executors shrink or crash, and machines are suspended", async () => {
		const faults: string[] = []
		const verdict = await runRoughSoak({
			seed: 34,
			count: 8,
			machineFaults: 10,
			keepIn: KEPT_RUNS,
			onFault: text => void faults.push(text),
		})
		expectKept(verdict, faults)
		expect(verdict.unready).to.eql([])
	}).timeout(120_000)

	/*
	 * Seed 3610 guards the stand-in's capacity check during overlapping shrink faults. Seed 3625 guards against kept jobs that
	 * stay pending because a placer waits for executors that have restarted.
	 */
	for (const seed of [3610, 3625])
		it(`violates no guarantee with seed ${seed}, a past failure`, async () => {
			const plan = {count: 8, connectionFaults: 2, machineFaults: 5, callers: 40}
			const verdict = await runRoughSoak({seed, ...plan, keepIn: KEPT_RUNS})
			console.log(`        ${JSON.stringify(verdict)}`)
			expect(verdict.violations).to.eql([])
		}).timeout(120_000)

	it("runs no task twice while machines are lost silently and placers are cut off from executors", async () => {
		const verdict = await runRoughSoak({
			seed: 501,
			count: 30,
			keepIn: KEPT_RUNS,
			callers: 90,
			shareClosing: 1,
			faults: [
				"be lost without a word",
				"reset between instances for one side",
				"stand still and be cut off",
				"run by turns and be cut off",
				"cut instance from executors",
			],
		})
		console.log(`        ${JSON.stringify(verdict)}`)
		expect(verdict.violations).to.eql([])
		expect(verdict.completed).to.be.greaterThan(0)
	}).timeout(120_000)

	/* Guards against versions that take effect late or never after connections went silent. */
	it("applies every version while connections go silent and versions change rapidly", async () => {
		const faults: string[] = []
		const verdict = await runLeasedSoak({
			seed: 335,
			count: 3,
			connectionFaults: 3,
			onFault: text => void faults.push(text),
		})
		expectKept(verdict, faults)
	}).timeout(120_000)
})
