/** Jobs that a placer moves to another domain before anything of them has started. */
import {
	createJobMetrics,
	type Claim,
	type EventLog,
	type Job,
	type LogFields,
	type Member,
} from "@cottonwood/jobs"
import {
	createDispatcher,
	createFleetView,
	fieldsOf,
	followMoves,
	type JobMessage,
	type JobMove,
	type JobReply,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {fakePeers} from "./support/peers.js"
import {QUEUE, STAYING} from "./support/requests.js"

const member = (failureDomain: string, name = `${failureDomain}-1`): Member => ({
	name,
	session: `${name}-s`,
	failureDomain,
	address: `${name}:1`,
	cpuShare: 1,
})
const claimOf = (failureDomain: string): Claim => ({
	failureDomain,
	fence: 3,
	placer: member(failureDomain),
})
const moveTo = (failureDomain: string, changes: Partial<JobMove> = {}): JobMove => ({
	type: "elsewhere",
	claim: claimOf(failureDomain),
	hereMs: 90,
	thereMs: 3,
	newsAgeMs: 20,
	...changes,
})

type Answer = JobReply | "silent" | "unsent"

/** An instance that only hears its own domain's placer, as most do. Placers answer in turn by the given lists. */
function createWorld(answers: Readonly<Record<string, Answer[]>>) {
	const clock = createFakeClock()
	const metrics = createJobMetrics()
	const lines: {readonly kind: string; readonly fields: LogFields}[] = []
	const note: EventLog["event"] = (_part, kind, _message, fields = {}) =>
		void lines.push({kind, fields: fieldsOf(fields)})
	const log: EventLog = {event: note, alarm: note}
	const view = createFleetView(clock, () => undefined)
	const asked: {readonly domain: string; readonly been: readonly string[] | undefined}[] = []
	const confirmations: (() => number)[] = []
	const peers = fakePeers({
		runJob(_address, message: JobMessage, _timeoutMs, confirmedAt) {
			const {failureDomain: domain, job} = message
			asked.push({domain, been: job.been})
			confirmations.push(confirmedAt)
			const answer = answers[domain]?.shift() ?? "silent"
			const reply = typeof answer === "string" ? undefined : answer
			return {
				reply: Promise.resolve(reply),
				wasUnsent: () => answer === "unsent",
				wasRefused: () => false,
				cancel: () => undefined,
			}
		},
	})
	const dispatcher = createDispatcher({
		clock,
		log,
		peers,
		view,
		self: member("a", "a-2"),
		hosts: {of: () => undefined} as never,
		config: () => undefined,
		refreshConfig: () => undefined,
		isLeaving: () => false,
		isEvacuated: () => false,
		ownLateMs: () => 0,
		followMoves: job => followMoves({clock, log, metrics}, job),
	})
	for (const domain of ["a", "b", "c"]) view.noteClaim(claimOf(domain))
	view.noteHeard("a-1-s")
	const job: Job = {
		id: "00000000000000aa",
		queue: QUEUE.name,
		spec: "",
		steps: [],
		receivedAt: clock.now(),
		deadlineAt: clock.now() + 1_500,
	}
	const run = (caller = {...STAYING, madeAt: clock.now()}) =>
		dispatcher.dispatch(job, QUEUE, caller)
	return {run, asked, lines, metrics, confirmations}
}

describe("a moved job", () => {
	it("carries the domains tried, and its log line says why it moved and how it ended", async () => {
		const {run, asked, lines, metrics} = createWorld({
			a: [moveTo("b")],
			b: [{type: "completed"}],
		})
		expect(await run()).to.eql({type: "completed"})
		expect(asked).to.eql([
			{domain: "a", been: []},
			{domain: "b", been: ["a"]},
		])
		const line = lines.find(({kind}) => kind === "whole_job_moved")
		expect(line?.fields).to.include({
			job: "00000000000000aa",
			failureDomain: "b",
			hereMs: 90,
			thereMs: 3,
			inputAgeMs: 20,
			outcome: "completed",
		})
		expect(await metrics.text()).to.contain('whole_jobs_moved{reason="completed"} 1')
	})

	it("is confirmed to its new placer as of when its own caller was heard", async () => {
		let heardAt = 1_000
		const {run, confirmations} = createWorld({a: [moveTo("b")], b: [{type: "completed"}]})
		await run({...STAYING, madeAt: 1_000, confirmedAt: () => heardAt})
		heardAt = 1_200
		expect(confirmations[1]?.()).to.equal(1_200)
	})

	/* Guards against running a job twice: the silent placer may have started it. */
	it("is given up when its new placer is silent, and never started a second time", async () => {
		const {run, asked} = createWorld({a: [moveTo("b")], b: ["silent"]})
		expect(await run()).to.include({type: "given up", kind: "placer_lost"})
		expect(asked.map(({domain}) => domain)).to.eql(["a", "b"])
	})

	it("returns to the placer that moved it when it was never sent, and isn't moved there again", async () => {
		const {run, asked} = createWorld({a: [moveTo("b"), {type: "completed"}], b: ["unsent"]})
		expect(await run()).to.eql({type: "completed"})
		expect(asked).to.eql([
			{domain: "a", been: []},
			{domain: "b", been: ["a"]},
			{domain: "a", been: ["b"]},
		])
	})

	it("moves twice at most, and never back", async () => {
		const twice = createWorld({a: [moveTo("b")], b: [moveTo("c")], c: [moveTo("d")]})
		expect(await twice.run()).to.include({type: "refused"})
		expect(twice.asked.map(({domain}) => domain)).to.eql(["a", "b", "c"])
		expect(twice.asked[2]?.been).to.eql(["a", "b"])
		const back = createWorld({a: [moveTo("b")], b: [moveTo("a")]})
		expect(await back.run()).to.include({type: "refused"})
		expect(back.asked.map(({domain}) => domain)).to.eql(["a", "b"])
	})

	it("is refused as not run, and counted, when the placer's answer is invalid", async () => {
		const words = [
			moveTo("b", {hereMs: NaN}),
			moveTo("b", {thereMs: "soon" as never}),
			moveTo("b", {claim: {failureDomain: "b"} as never}),
			moveTo("a"),
		]
		for (const word of words) {
			const {run, asked, metrics} = createWorld({a: [word]})
			expect(await run()).to.include({type: "refused"})
			expect(asked.map(({domain}) => domain)).to.eql(["a"])
			expect(await metrics.text()).to.contain('broken_assumptions{reason="job_move"} 1')
		}
	})
})
