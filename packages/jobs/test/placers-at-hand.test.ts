/**
 * Which placer a job is handed to while there is none, one that begins, or one that leaves.
 */
import {silentLog, type Heartbeat, type Claim, type Job, type Member} from "@cottonwood/jobs"
import {
	createDispatcher,
	createFleetView,
	type HostedPlacers,
	type JobReply,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {QUEUE, STAYING} from "./support/requests.js"
import {fakePeers} from "./support/peers.js"

const member = (name: string): Member => ({
	name,
	session: `${name}-s`,
	failureDomain: "a",
	address: `${name}:1`,
	cpuShare: 1,
})
const [self, other] = [member("a-1"), member("a-2")] as const

function createWorld() {
	const clock = createFakeClock()
	const view = createFleetView(clock, () => undefined)
	const asked: string[] = []
	const quiet = new Map<string, number>()
	const hosted: {of?: {readonly placer: object}} = {}
	const dispatcher = createDispatcher({
		clock,
		log: silentLog,
		view,
		self,
		peers: fakePeers({
			quietMs: address => quiet.get(address) ?? 0,
			runJob(address) {
				asked.push(address)
				const reply = Promise.resolve<JobReply>({type: "completed"})
				return {reply, wasUnsent: () => false, wasRefused: () => false, cancel: () => undefined}
			},
		}),
		hosts: {
			of: () => hosted.of,
			run: () => Promise.resolve({type: "completed"}),
		} as unknown as HostedPlacers,
		config: () => undefined,
		refreshConfig: () => undefined,
		isLeaving: () => false,
		isEvacuated: () => false,
		ownLateMs: () => 0,
	})
	const claimOf = (placer: Member, fence: number): Claim => ({failureDomain: "a", fence, placer})
	const beatOf = (from: Member, isLeaving: boolean): Heartbeat => ({
		from,
		claims: [],
		rooms: {},
		isLeaving,
		configVersion: 1,
	})
	const job = (estimateMs: number): Job => ({
		id: "00000000000000aa",
		queue: QUEUE.name,
		spec: "",
		steps: [{count: 1, need: {cpu: 1, memoryMb: 1, accelerators: 0}, estimateMs, after: []}],
		receivedAt: clock.now(),
		deadlineAt: clock.now() + 5_000,
	})
	async function dispatch(estimateMs: number) {
		const end = dispatcher.dispatch(job(estimateMs), QUEUE, STAYING)
		let settledAt: number | undefined
		void end.then(() => (settledAt = clock.now()))
		return {end, settledAt: () => settledAt}
	}
	return {clock, view, asked, quiet, hosted, claimOf, beatOf, dispatch}
}

describe("placers at hand", () => {
	/*
	 * Symptom: 62 jobs of one day refused as `no_capacity` in the 0.3 s after all instances had come back. Sequence: the
	 * callers' instances listen, the placers claim their domains and hear their executors 0.2 to 0.4 s later.
	 * Cause: a job without a placer was refused at once, though most kinds can wait that long. Settled by `job_refused` lines
	 * between `started` and the first `fence_taken`.
	 */
	it("are waited for just after a start, as long as the job may be in time", async () => {
		const {clock, hosted, view, claimOf, dispatch} = createWorld()
		const long = await dispatch(500)
		const short = await dispatch(50)
		await clock.advance(150)
		// Its objective is 140 ms and its work 50: it cannot be in time any more.
		expect((await short.end).type).to.equal("refused")
		expect(short.settledAt()).to.be.within(1_080, 1_110)
		expect(long.settledAt()).to.equal(undefined)
		view.noteClaim(claimOf(self, 2))
		hosted.of = {placer: {canServe: () => false, isStartingUp: () => true}}
		await clock.advance(20)
		expect((await long.end).type).to.equal("completed")
	})

	it("are not waited for when nothing has begun of late", async () => {
		const {clock, dispatch} = createWorld()
		await clock.advance(2_000)
		const {end, settledAt} = await dispatch(500)
		await clock.advance(5)
		expect((await end).type).to.equal("refused")
		expect(settledAt()).to.be.within(3_000, 3_010)
	})

	/*
	 * Symptom: 100 refusals of a cut off domain in 4 s, `no placer can be reached`. Sequence: its placer is stopped while it
	 * is cut off; nobody can write a claim; it goes on for the grace time, and takes no job from its neighbours.
	 * Cause: a leaving placer counted as none. Settled by `leaving`, `handover` with `declined`, and the refusals.
	 */
	it("include one that leaves, when nobody else is heard", async () => {
		const {clock, view, claimOf, beatOf, asked, dispatch} = createWorld()
		view.noteClaim(claimOf(other, 2))
		await clock.advance(2_000)
		view.applyHeartbeat(beatOf(other, true))
		const {end} = await dispatch(500)
		expect((await end).type).to.equal("completed")
		expect(asked).to.eql(["a-2:1"])
	})

	/*
	 * A placer's machine was gone for good. Its beats had come until then, so for 0.6 s its domain's instances sent it their
	 * callers' jobs, which may not be tried again: 87 answers of 502 to jobs that had reached no executor. Settled by
	 * `placer_asked` lines with "given up" for jobs that had come after its last line, from 3.0 to 3.6 s of that day.
	 */
	it("do not include one that has calls under way and says nothing", async () => {
		const {view, claimOf, beatOf, asked, quiet, dispatch} = createWorld()
		const far = {...member("b-1"), failureDomain: "b"}
		view.noteClaim(claimOf(other, 2))
		view.noteClaim({failureDomain: "b", fence: 1, placer: far})
		for (const placer of [other, far]) view.applyHeartbeat(beatOf(placer, false))
		await (
			await dispatch(500)
		).end
		quiet.set(other.address, 250)
		await (
			await dispatch(500)
		).end
		quiet.set(other.address, 320)
		await (
			await dispatch(500)
		).end
		expect(asked).to.eql(["a-2:1", "a-2:1", "b-1:1"])
		// With nobody else in sight it is better than a refusal.
		view.noteUnreachable(far.session)
		await (
			await dispatch(500)
		).end
		expect(asked.at(-1)).to.equal("a-2:1")
		view.applyHeartbeat(beatOf(far, false))
		// By its own word it is late by so much that this is no sign of anything.
		view.applyHeartbeat({...beatOf(other, false), lateMs: 60})
		await (
			await dispatch(500)
		).end
		expect(asked.at(-1)).to.equal("a-2:1")
	})
})
