/**
 * Tasks that no executor could run are looked at again when the executors change; none may stay behind then.
 */
import {expect} from "chai"
import {
	createParkedTasks,
	createTaskQueue,
	type PlacerState,
	type WaitingTask,
} from "@cottonwood/jobs/internals"
import {record} from "./support/fake-executors.js"
import {taskRequest} from "./support/requests.js"

function waiting(task: string, label?: string): WaitingTask {
	return {
		req: taskRequest(task, {isKept: true, ...(label !== undefined && {label})}),
		since: 0,
		onEnd: () => undefined,
		onStart: () => undefined,
	}
}

describe("parked tasks", () => {
	// A kept job waited for ever when its executor was away only between two looks at the executors.
	it("go back to the queue when the executor that was away is back before the next look", () => {
		let isUsable = true
		const link = {record: record("e1"), isUsableSoon: () => isUsable}
		const links = new Map([["e1", link]]) as unknown as PlacerState["links"]
		const queue = createTaskQueue()
		const parked = createParkedTasks(links, queue)
		const park = () => queue.inOrder(0).map(parked.park)

		queue.push(waiting("hopeless.0.0.0", "nowhere"))
		expect(park()).to.eql([true])
		parked.unpark()

		isUsable = false
		queue.push(waiting("sound.0.0.0"))
		expect(park()).to.eql([true])

		isUsable = true
		parked.unpark()
		expect(queue.all().map(({req}) => req.task)).to.eql(["sound.0.0.0"])
	})
})
