/**
 * A replaced placer may renew leases on executors that its successor cannot reach. Guards against a
 * kept job's run, whose lease no caller bounds, continuing there beside the successor's run.
 */
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {record} from "./support/fake-executors.js"
import {LeasedExecutor, ordersTo} from "./support/leased-executor.js"
import {createTestPlacer} from "./support/placers.js"
import {taskRequest} from "./support/requests.js"

const TASK = "j.0.0.0"
const OLD_FENCE = 7
const NEW_FENCE = 8
const ignore = () => undefined

function createWorld() {
	const clock = createFakeClock()
	const executors = {e1: new LeasedExecutor(clock), e2: new LeasedExecutor(clock)}
	const at = (id: string) => executors[id as "e1" | "e2"]
	const orders = ordersTo(at)
	const running = () => Object.values(executors).filter(executor => executor.running.has(TASK))
	return {clock, executors, orders, running}
}

const keptRequest = (run: number, avoid: readonly string[] = []) =>
	taskRequest(TASK, {run, avoid, isKept: true, isLasting: true, estimateMs: 50_000})

describe("a replaced placer that is partitioned from its successor", () => {
	it("ends a kept job's run before its successor assumes that all runs have ended", async () => {
		const {clock, executors, orders, running} = createWorld()
		const old = createTestPlacer({clock, orders, fence: OLD_FENCE})
		old.setExecutors([record("e1"), record("e2")])
		await clock.advance(10)
		old.submit(keptRequest(1, ["e1"]), ignore, ignore)
		await clock.advance(100)
		expect(executors.e2.running.has(TASK)).to.equal(true)
		executors.e1.isLost = ({fence}) => fence === OLD_FENCE
		executors.e2.isLost = ({fence}) => fence === NEW_FENCE
		const successor = createTestPlacer({
			clock,
			orders,
			fence: NEW_FENCE,
			knowsAllExecutors: false,
		})
		successor.setExecutors([record("e1"), record("e2")])
		for (let ms = 0; ms < 5_000 && !successor.hasTakenOver(); ms += 50) await clock.advance(50)
		if (successor.hasTakenOver()) successor.submit(keptRequest(10_001), ignore, ignore)
		await clock.advance(1_000)
		expect(running().length).to.be.at.most(1)
	})
})
