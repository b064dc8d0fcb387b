/**
 * A short soak of the program on the stand-in of the users' platform; longer ones are run by hand.
 */
import {runLeasedSoak, runRoughSoak} from "@cottonwood/standins"
import {expect} from "chai"
import {tmpdir} from "node:os"
import {join} from "node:path"

/** A run that breaks a promise leaves its lines here, to be traced. */
const KEPT_RUNS = join(tmpdir(), "cottonwood-soak")

/** Prints what was played, and expects that no promise was broken and some work was done. */
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
	it("breaks no promise under a few faults of a fixed seed", async () => {
		const faults: string[] = []
		const verdict = await runLeasedSoak({
			seed: 205,
			count: 6,
			faultMs: 1_000,
			onFault: text => void faults.push(text),
		})
		expectKept(verdict, faults)
	}).timeout(120_000)

	it("breaks no promise while instances are cut off, stand still and are lost together", async () => {
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

	/*
	 * A task that crashes executors was started six times. Behind links a crash looks like a cut, so each of its runs counted as
	 * one that may have ended by a crash, but for one that a placer lost without a word of it. Settled by the judge's line,
	 * "BUDGET: ccccccccb8e996f6.0.0.0 was started 6 times", in one of three plays of this seed.
	 */
	it("starts no crashing task more than five times, whoever loses its runs", async () => {
		const verdict = await runLeasedSoak({seed: 3503, connectionFaults: 3, machineFaults: 6})
		console.log(`        ${JSON.stringify(verdict)}`)
		expect(verdict.violations).to.eql([])
	}).timeout(120_000)

	it("breaks no promise while domains are emptied, executors shrink or crash, and machines are suspended", async () => {
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
	 * In 3610 the stand-in judged starts by a room that had shrunk 0.4 s before: the end of an earlier shrinking ended its time.
	 * In 3625 two kept jobs stayed pending, since their new home's placer waited for good for executors whose next lives had
	 * answered; see the placer's own test.
	 */
	for (const seed of [3610, 3625])
		it(`breaks no promise with seed ${seed}, which once did`, async () => {
			const plan = {count: 8, connectionFaults: 2, machineFaults: 5, callers: 40}
			const verdict = await runRoughSoak({seed, ...plan, keepIn: KEPT_RUNS})
			console.log(`        ${JSON.stringify(verdict)}`)
			expect(verdict.violations).to.eql([])
		}).timeout(120_000)

	it("runs no task twice while machines are lost without a word and placers lose sight of executors", async () => {
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

	/*
	 * No soak lost the word of a connection, and none wrote two versions before the first was heard, so none saw that a
	 * version came late or never. On the code before, this run ends with all four instances refusing the queue of the newest
	 * version 5 s after it was written, as seed 312 does.
	 */
	it("has every version in force while connections go silent and versions come in quick succession", async () => {
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
