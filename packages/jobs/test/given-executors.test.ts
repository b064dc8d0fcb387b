/**
 * Executors that go to another slice's placer with what runs there.
 *
 * The placer that gave them counted their runs for ever, so a task that came anew there, since its run had been lost, was
 * taken for one that still runs and was never started. What settled it: runs that are given are counted no more.
 */
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeFleet, record} from "./support/fake-executors.js"
import {createTestPlacer} from "./support/placers.js"
import {taskRequest} from "./support/requests.js"

const TASK = "j.0.0.0"
const ignore = () => undefined

describe("executors that are given to another placer", () => {
	it("hold back no task that comes anew", async () => {
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
