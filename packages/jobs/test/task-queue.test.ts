/** The order in which waiting tasks start, and the queue's counts of work. */
import {createTaskQueue, type TaskRequest, type WaitingTask} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {taskRequest} from "./support/requests.js"

function waiting(task: string, extra: Partial<TaskRequest> = {}): WaitingTask {
	const req = taskRequest(task, extra)
	return {req, since: 0, onEnd: () => undefined, onStart: () => undefined}
}

const order = (items: readonly WaitingTask[], now: number) => {
	const queue = createTaskQueue()
	for (const item of items) queue.push(item)
	return queue.inOrder(now).map(group => group.waiting[0]?.req.job)
}

describe("task queue", () => {
	it("orders tasks by their latest useful start", () => {
		const items = [waiting("late.0", {startBy: 900}), waiting("soon.0", {startBy: 300})]
		expect(order(items, 0)).to.eql(["soon", "late"])
	})

	it("puts tasks in time before late ones, and tasks of begun jobs before both", () => {
		const items = [
			waiting("late.0", {startBy: 100}),
			waiting("intime.0", {startBy: 900}),
			waiting("begun.0", {startBy: 50, isBegun: true}),
		]
		expect(order(items, 500)).to.eql(["begun", "intime", "late"])
	})

	it("puts useless tasks last, even of begun jobs", () => {
		const items = [
			waiting("useless.0", {startBy: 50, uselessAt: 400, isBegun: true}),
			waiting("late.0", {startBy: 100}),
		]
		expect(order(items, 500)).to.eql(["late", "useless"])
	})

	it("counts the work ahead of a start, and all waiting work", () => {
		const queue = createTaskQueue()
		queue.push(waiting("a.0", {startBy: 300}))
		queue.push(waiting("b.0", {startBy: 900}))
		// 27 cores for an estimated 100 ms each.
		expect(queue.workBefore(500, 0)).to.equal(2_700)
		expect(queue.work()).to.equal(5_400)
	})

	it("no longer counts removed tasks", () => {
		const queue = createTaskQueue()
		const item = waiting("a.0")
		queue.push(item)
		expect(queue.remove(item)).to.equal(true)
		expect(queue.remove(item)).to.equal(false)
		expect([queue.size(), queue.work()]).to.eql([0, 0])
	})
})
