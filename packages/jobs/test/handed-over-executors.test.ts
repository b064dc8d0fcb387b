/**
 * Executors that are handed over to another slice's placer with their runs. Guards against a placer that still counts these
 * runs, and so never starts a retry of such a task.
 */
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeFleet, record} from "./support/fake-executors.js"
import {createTestPlacer} from "./support/placers.js"
import {taskRequest} from "./support/requests.js"

const TASK = "j.0.0.0"
const ignore = () => undefined

describe("executors that are handed over to another placer", () => {
	it("do not block a retry of a task that ran there", async () => {
		const clock = createFakeClock()
		const fleet = new FakeFleet(clock)
		const placer = createTestPlacer({clock, orders: fleet})
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		const submit = (run: number) => placer.submit({...taskRequest(TASK), run}, ignore, ignore)
		submit(1)
		await clock.advance(10)
		expect(fleet.starts).to.have.length(1)
		placer.setExecutors([record("e1"), record("e2")])
		expect(placer.handOverExecutors(({id}) => id === "e1", ignore)).to.equal(1)
		placer.setExecutors([record("e2")])
		submit(2)
		await clock.advance(50)
		expect(fleet.starts).to.have.length(2)
		placer.close()
	})
})
