import {createFairQueue, type QueueItem} from "@cottonwood/core"
import {expect} from "chai"

interface Item extends QueueItem {
	readonly name: string
}

const item = (name: string, team: string, extra: Partial<Item> = {}): Item => ({
	name,
	team,
	pool: "workers",
	shape: "small",
	deadlineAt: 1_000,
	costMs: 100,
	...extra,
})

function takeAll(queue: ReturnType<typeof createFairQueue<Item>>, limit = Infinity) {
	const taken: string[] = []
	queue.drain(
		next => {
			if (taken.length >= limit) return false
			taken.push(next.name)
			return true
		},
		team => (team === "heavy" ? 3 : 1),
	)
	return taken
}

describe("the fair queue", () => {
	it("orders by deadline within a team", () => {
		const queue = createFairQueue<Item>()
		queue.push(item("late", "a", {deadlineAt: 900}))
		queue.push(item("soon", "a", {deadlineAt: 100}))
		expect(takeAll(queue)).to.deep.equal(["soon", "late"])
	})

	it("does not let one team's burst delay another", () => {
		const queue = createFairQueue<Item>()
		for (let i = 0; i < 100; i++) queue.push(item(`burst${i}`, "a"))
		queue.push(item("other", "b"))
		expect(takeAll(queue, 3)).to.include("other")
	})

	it("serves teams by weight", () => {
		const queue = createFairQueue<Item>()
		for (let i = 0; i < 100; i++) {
			queue.push(item("h", "heavy"))
			queue.push(item("l", "light"))
		}
		const taken = takeAll(queue, 40)
		expect(taken.filter(name => name === "h").length).to.be.within(29, 31)
	})

	it("skips a shape that fits nowhere now", () => {
		const queue = createFairQueue<Item>()
		queue.push(item("huge", "a", {shape: "huge", deadlineAt: 1}))
		queue.push(item("small", "a"))
		const taken: string[] = []
		queue.drain(
			next => next.shape !== "huge" && taken.push(next.name) > 0,
			() => 1,
		)
		expect(taken).to.deep.equal(["small"])
		expect(queue.size()).to.equal(1)
	})

	it("tracks the load of each pool, also after removals", () => {
		const queue = createFairQueue<Item>()
		queue.push(item("w", "a"))
		queue.push(item("e", "a", {pool: "endpoint:x", costMs: 40}))
		expect([queue.costMs("workers"), queue.costMs("endpoint:x")]).to.deep.equal([100, 40])
		expect(queue.remove(next => next.pool === "workers")).to.have.length(1)
		expect([queue.costMs("workers"), queue.sizeIn("endpoint:x")]).to.deep.equal([0, 1])
	})
})
