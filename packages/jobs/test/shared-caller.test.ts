/** A caller that submits again at the instance where its job is in progress. */
import {createSharedCaller, type Caller} from "@cottonwood/jobs"
import {expect} from "chai"

function createCaller(confirmedAt: number) {
	const listeners: (() => void)[] = []
	const caller: Caller = {
		onCancel: listener => void listeners.push(listener),
		madeAt: confirmedAt,
		confirmedAt: () => confirmedAt,
	}
	const hangUp = () => {
		for (const listener of listeners) listener()
	}
	return {caller, hangUp}
}

describe("a shared caller", () => {
	it("is cancelled when the latest connection closes, not when an earlier one does", () => {
		const [first, second] = [createCaller(100), createCaller(200)]
		const shared = createSharedCaller(first.caller)
		let over = 0
		shared.onCancel(() => over++)
		shared.join(second.caller)
		first.hangUp()
		expect(over).to.equal(0)
		second.hangUp()
		expect(over).to.equal(1)
		shared.onCancel(() => over++)
		expect(over, "a later listener").to.equal(2)
	})

	it("is confirmed as of when the latest connection was heard", () => {
		const [first, second] = [createCaller(100), createCaller(200)]
		const shared = createSharedCaller(first.caller)
		expect(shared.confirmedAt()).to.equal(100)
		shared.join(second.caller)
		expect(shared.confirmedAt()).to.equal(200)
	})
})
