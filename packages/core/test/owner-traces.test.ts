import {STORE_STALL_MS} from "@cottonwood/core"
import {ownerProtocol, tracesTo, type OwnerEvent, type OwnerState} from "@cottonwood/spec"
import {expect} from "chai"
import {createTwoSessions, type TwoSessions} from "./support/two-sessions.js"

const KEY = "lot-7"
const spec = ownerProtocol()

async function apply(world: TwoSessions, state: OwnerState, event: OwnerEvent, order: number[]) {
	switch (event.type) {
		case "send":
			return
		case "arrive": {
			order.push(event.copy)
			const session = state.copies[event.copy] as "a" | "b"
			return world.arrive(session, KEY, event.admit)
		}
		case "storeTakes":
			return world.storeTakes(event.session, event.answers)
		case "storeDrops":
			return world.storeDrops(event.session)
		case "answerArrives":
			return world.answerArrives(event.session)
		case "timeout":
			return world.timeout(event.session)
		case "giveUp":
			return world.stall(STORE_STALL_MS)
		case "crash":
			return world.crash(event.session)
		case "list":
			return world.list()
		case "seal":
			return world.seal()
		case "serve":
			return world.serve()
	}
}

/** After a stall the core refuses at once what the specification would hold; both are safe. */
function isComparable(events: readonly OwnerEvent[]): boolean {
	const givenUp = events.findIndex(event => event.type === "giveUp")
	if (givenUp < 0) return true
	return !events.slice(givenUp).some(event => event.type === "arrive" || event.type === "giveUp")
		? true
		: false
}

describe("the core replays the traces of the owner's specification", () => {
	it("with the same starts and the same answers", async function () {
		this.timeout(120_000)
		const traces = tracesTo(spec, state =>
			state.copies.every(where => ["not run", "unknown", "value"].includes(where))
				? "all copies are answered"
				: undefined,
		).filter(trace => isComparable(trace.events))
		const chosen = traces.filter((_, index) => index % Math.ceil(traces.length / 400) === 0)
		console.log(`        ${chosen.length} traces of ${traces.length}`)
		expect(chosen.length).to.be.greaterThan(100)
		for (const {events} of chosen) {
			const world = createTwoSessions()
			const order: number[] = []
			let state = spec.initial
			for (const event of events) {
				await apply(world, state, event, order)
				state = spec.next(state, event)
			}
			const trace = JSON.stringify(events)
			const started = [...world.starts.values()].reduce((sum, n) => sum + n, 0)
			expect(started, trace).to.equal(state.starts)
			order.forEach((copy, index) => {
				expect(world.copies[index]!.answer, `copy ${copy} of ${trace}`).to.equal(state.copies[copy])
			})
		}
	})
})
