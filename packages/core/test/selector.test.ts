import {isMatch, parseSelector} from "@cottonwood/core"
import {expect} from "chai"

const matches = (text: string, labels: Record<string, string>) =>
	isMatch(parseSelector(text)._unsafeUnwrap(), labels)

describe("label selectors", () => {
	it("match by equality, sets, presence and absence", () => {
		const labels = {zone: "quito", disk: "ssd"}
		expect(matches("zone=quito", labels)).to.equal(true)
		expect(matches("zone==quito,disk!=hdd", labels)).to.equal(true)
		expect(matches("zone in (loja, quito), !spot", labels)).to.equal(true)
		expect(matches("zone notin (quito)", labels)).to.equal(false)
		expect(matches("spot", labels)).to.equal(false)
		expect(matches("", labels)).to.equal(true)
	})

	it("are refused with the position and what was expected", () => {
		const refused = (text: string) => parseSelector(text)._unsafeUnwrapErr().detail
		expect(refused("zone in quito")).to.contain("position 9").and.to.contain("expected (")
		expect(refused("zone=")).to.contain("position 6").and.to.contain("found the end")
		expect(refused("zone=a b")).to.contain("position 8").and.to.contain("expected , or the end")
		expect(refused("a in (x,")).to.contain("expected a value")
	})
})
