/**
 * Guards the parsing, order and format of a job's timeline.
 */
import {describeLine, instancesBySession, readLines, timelineOf} from "cottonwoodctl/trace"
import {expect} from "chai"

const LINES = [
	'  5.1 edge-a-1 {"timestamp":"2026-01-01T00:00:02.000Z","kind":"run_ended","job":"aa"}',
	'{"timestamp":"2026-01-01T00:00:01.000Z","kind":"task_started","job":"aa"}',
	'{"timestamp":"2026-01-01T00:00:01.500Z","kind":"task_started","job":"bb"}',
	"not a line {of ours}",
	"",
]

describe("trace", () => {
	it("orders a job's lines by time and ignores rows that are not log lines", () => {
		const timeline = timelineOf(readLines(LINES.join("\n")), "aa")
		expect(timeline.map(({kind}) => kind)).to.eql(["task_started", "run_ended"])
	})

	it("returns nothing for a job without lines", () => {
		expect(timelineOf(readLines(LINES.join("\n")), "cc")).to.eql([])
	})

	it("shows the name of the asking instance when a line maps its session to it", () => {
		const at = '"timestamp":"2026-01-01T00:00:02.000Z"'
		const lines = readLines(
			[
				`{${at},"kind":"claim_known","peer":"edge-a-1","session":"11111111","fence":4}`,
				`{${at},"kind":"task_started","job":"aa","fence":4,"askedBy":"11111111"}`,
				`{${at},"kind":"run_ended","job":"aa","proof":"lease over","askedBy":"22222222"}`,
			].join("\n"),
		)
		const [, started, ended] = lines.map(line => describeLine(line, instancesBySession(lines)))
		expect(started).to.equal("fence=4 askedBy=11111111 (edge-a-1)")
		expect(ended).to.equal("proof=lease over askedBy=22222222")
	})
})
