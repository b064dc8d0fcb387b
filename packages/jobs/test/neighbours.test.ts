/**
 * Guards against starting a confirmed task beside a long unconfirmed run, whose short lease ends
 * both.
 */
import type {TaskEnd} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {record} from "./support/fake-executors.js"
import {LeasedExecutor, ordersTo} from "./support/leased-executor.js"
import {createTestPlacer} from "./support/placers.js"
import {taskRequest} from "./support/requests.js"

const ignore = () => undefined
const NEED = {cpu: 1_000, memoryMb: 1, accelerators: 0}

describe("a start beside a run that is long unconfirmed", () => {
	it("goes to another executor, where its lease can be renewed", async () => {
		const clock = createFakeClock()
		const executors = new Map(["e1", "e2"].map(id => [id, new LeasedExecutor(clock)]))
		const at = (id: string) => executors.get(id) as LeasedExecutor
		const orders = ordersTo(at)
		const placer = createTestPlacer({clock, orders})
		placer.setExecutors([record("e1"), record("e2")])
		await clock.advance(1_500)
		const lastHeardAt = clock.now()
		const ends: TaskEnd[] = []
		const extra = {estimateMs: 50_000, isLasting: true, need: NEED}
		const silent = taskRequest("j.0.0.0", {...extra, confirmedAt: () => lastHeardAt})
		placer.submit(silent, ignore, ignore)
		await clock.advance(900)
		const heard = taskRequest("k.0.0.0", {...extra, confirmedAt: () => clock.now()})
		placer.submit(heard, end => void ends.push(end), ignore)
		await clock.advance(1_000)
		expect(ends).to.eql([])
	})
})
