/** Jobs whose placer stopped responding: rescheduled once every run has certainly ended, or answered at once. */
import {createJobMetrics, silentLog, type Job, type JobEnd, type Member} from "@cottonwood/jobs"
import {
	certainEndForCoordinator,
	createDispatcher,
	createFleetView,
	createRescheduler,
	rescheduleAt,
	type JobMessage,
	type JobReply,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock, settle} from "./support/fake-clock.js"
import {fakePeers} from "./support/peers.js"
import {LEASE_RULE, QUEUE} from "./support/requests.js"

/** Silence on the peers' stream after which its calls count as lost. */
const NOTICED_MS = 600
/** Time after which callers submit again after an unknown outcome. */
const RESUBMIT_MS = 1_300

const member = (name: string, failureDomain: string): Member => ({
	name,
	session: `${name}-s`,
	failureDomain,
	address: `${name}:1`,
	cpuShare: 1,
})

interface Call {
	readonly address: string
	readonly message: JobMessage
	readonly at: number
	readonly answer: (reply: JobReply | undefined) => void
}

function createWorld({isOn = true} = {}) {
	const clock = createFakeClock()
	const view = createFleetView(clock, () => undefined)
	const calls: Call[] = []
	const leaving: (() => void)[] = []
	const metrics = createJobMetrics()
	const rescheduleLostJob = createRescheduler({
		clock,
		log: silentLog,
		metrics,
		leaseRule: LEASE_RULE,
	})
	const dispatcher = createDispatcher({
		clock,
		log: silentLog,
		view,
		self: member("a-2", "a"),
		peers: fakePeers({
			runJob(address, message) {
				const at = clock.now()
				const reply = new Promise<JobReply | undefined>(answer =>
					calls.push({address, message, at, answer}),
				)
				// The peer confirms nothing after the call itself.
				return {
					reply,
					wasUnsent: () => false,
					wasRefused: () => false,
					lastConfirmedAt: () => at,
					cancel: () => undefined,
				}
			},
		}),
		hosts: {of: () => undefined} as never,
		config: () => undefined,
		refreshConfig: () => undefined,
		isLeaving: () => false,
		isEvacuated: () => false,
		ownLateMs: () => 0,
		rescheduleLostJob: isOn ? rescheduleLostJob : undefined,
	})
	const placer = member("a-1", "a")
	const hear = (from: Member) =>
		view.applyHeartbeat({from, claims: [], rooms: {}, isLeaving: false, configVersion: 1})
	view.noteClaim({failureDomain: "a", fence: 1, placer})
	hear(placer)

	function dispatch(estimateMs: number, deadlineMs: number) {
		const job: Job = {
			id: "00000000000000aa",
			queue: QUEUE.name,
			spec: "",
			steps: [{count: 1, need: {cpu: 1, memoryMb: 1, accelerators: 0}, estimateMs, after: []}],
			receivedAt: clock.now(),
			deadlineAt: clock.now() + deadlineMs,
		}
		const ended: {end?: JobEnd; at?: number} = {}
		const caller = {
			onCancel: (listener: () => void) => void leaving.push(listener),
			madeAt: clock.now(),
			confirmedAt: () => clock.now(),
		}
		void dispatcher.dispatch(job, QUEUE, caller).then(end => {
			ended.end = end
			ended.at = clock.now()
		})
		return {job, ended}
	}

	/** Announces a successor of the domain's placer. */
	function succeed() {
		const successor = member("a-3", "a")
		view.noteClaim({failureDomain: "a", fence: 2, placer: successor})
		hear(successor)
	}

	async function loseFirst() {
		await clock.advance(NOTICED_MS)
		calls[0]?.answer(undefined)
		await settle()
	}

	const leave = () => leaving.forEach(listener => listener())
	return {clock, calls, dispatch, succeed, loseFirst, leave, metrics}
}

describe("the time of a reschedule", () => {
	const lost = {lastConfirmedAt: 5_000, chainMs: 900, usefulUntil: 9_000}

	/* Guards against a reschedule that comes later than the caller's own retry would. */
	it("is as soon as every run is over, counted from what the placer was told last", () => {
		const at = rescheduleAt(LEASE_RULE, lost, 5_600)
		expect(at).to.equal(certainEndForCoordinator(LEASE_RULE, 5_000))
		expect(at).to.be.at.least(5_000 + LEASE_RULE.endsWithinMs)
		expect(at).to.be.lessThan(5_600 + RESUBMIT_MS)
	})

	it("is at once when they are over already", () => {
		expect(rescheduleAt(LEASE_RULE, lost, 7_000)).to.equal(7_000)
	})

	/* Guards against holding callers for an answer that is of no use to them. */
	it("is never when its end would be of no use by then, or nobody knows what was told", () => {
		expect(rescheduleAt(LEASE_RULE, {...lost, usefulUntil: 7_100}, 5_600)).to.equal(undefined)
		expect(rescheduleAt(LEASE_RULE, {...lost, lastConfirmedAt: Infinity}, 5_600)).to.equal(
			undefined,
		)
		expect(rescheduleAt(LEASE_RULE, {...lost, lastConfirmedAt: NaN}, 5_600)).to.equal(undefined)
	})
})

describe("a job whose placer stopped responding", () => {
	it("is rescheduled once every run of it has certainly ended, and no sooner", async () => {
		const {clock, calls, dispatch, succeed, loseFirst} = createWorld()
		const {job, ended} = dispatch(900, 6_000)
		await loseFirst()
		await clock.advance(LEASE_RULE.endsWithinMs - NOTICED_MS)
		succeed()
		expect(calls).to.have.length(1)
		await clock.advance(30)
		expect(calls.map(({address}) => address)).to.eql(["a-1:1", "a-3:1"])
		const [first, second] = calls as [Call, Call]
		expect(second.at - first.at).to.be.at.least(LEASE_RULE.endsWithinMs)
		// Counts as a new arrival, within the caller's original deadline.
		expect(second.message.ageMs).to.equal(0)
		expect(second.at + second.message.leftMs).to.equal(job.deadlineAt)
		second.answer({type: "completed"})
		await settle()
		expect(ended.end).to.eql({type: "completed"})
	})

	it("is answered at once when its end would come too late", async () => {
		const {clock, calls, dispatch, succeed, loseFirst} = createWorld()
		const {ended} = dispatch(900, 1_500)
		await loseFirst()
		succeed()
		expect(ended.end).to.include({type: "given up", kind: "placer_lost"})
		await clock.advance(3_000)
		expect(calls).to.have.length(1)
	})

	/* The first placer may have run it, so a later refusal says nothing about that. */
	it("is never answered as refused when another placer refuses it", async () => {
		const {clock, calls, dispatch, succeed, loseFirst} = createWorld()
		const {ended} = dispatch(900, 6_000)
		await loseFirst()
		await clock.advance(600)
		succeed()
		await clock.advance(100)
		calls[1]?.answer({type: "refused", kind: "overloaded", cause: "no room"})
		await settle()
		expect(ended.end).to.include({type: "given up", kind: "placer_lost"})
	})

	it("is never answered as refused when there is no placer", async () => {
		const {clock, dispatch, loseFirst} = createWorld()
		const {ended} = dispatch(900, 6_000)
		await loseFirst()
		await clock.advance(4_000)
		expect(ended.end).to.include({type: "given up", kind: "placer_lost"})
	})

	it("is not rescheduled once its caller has left", async () => {
		const {clock, calls, dispatch, succeed, loseFirst, leave} = createWorld()
		const {ended} = dispatch(900, 6_000)
		await loseFirst()
		succeed()
		leave()
		await settle()
		expect(ended.end).to.include({type: "given up", kind: "cancelled"})
		await clock.advance(3_000)
		expect(calls).to.have.length(1)
	})

	it("is answered at once when rescheduling is off", async () => {
		const {dispatch, loseFirst, metrics} = createWorld({isOn: false})
		const {ended} = dispatch(900, 6_000)
		await loseFirst()
		expect(ended.end).to.eql({
			type: "given up",
			kind: "placer_lost",
			cause: "a-1 is silent",
		})
		expect(await metrics.text()).not.to.match(/jobs_lost\{/)
	})

	/* Reschedules again when the second placer is lost too. */
	it("is rescheduled again after the loss of a second placer", async () => {
		const {clock, calls, dispatch, succeed, loseFirst} = createWorld()
		const {ended} = dispatch(900, 6_000)
		await loseFirst()
		await clock.advance(600)
		succeed()
		await clock.advance(100)
		const second = calls[1] as Call
		second.answer(undefined)
		await clock.advance(LEASE_RULE.endsWithinMs - 50)
		expect(calls).to.have.length(2)
		succeed()
		await clock.advance(100)
		expect(calls).to.have.length(3)
		calls[2]?.answer({type: "completed"})
		await settle()
		expect(ended.end).to.eql({type: "completed"})
	})
})
