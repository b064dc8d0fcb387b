/** The placer that a job is dispatched to while there is none, one that is starting up, one that leaves, or a silent one. */
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
			unansweredMs: address => quiet.get(address) ?? 0,
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

describe("available placers", () => {
	/* Guards against refusals just after a start, before placers have claimed their domains and reached executors. */
	it("are waited for just after a start, as long as the job can be in time", async () => {
		const {clock, hosted, view, claimOf, dispatch} = createWorld()
		const long = await dispatch(500)
		const short = await dispatch(50)
		await clock.advance(150)
		// With an objective of 140 ms and work of 50 ms it can no longer be in time.
		expect((await short.end).type).to.equal("refused")
		expect(short.settledAt()).to.be.within(1_080, 1_110)
		expect(long.settledAt()).to.equal(undefined)
		view.noteClaim(claimOf(self, 2))
		hosted.of = {placer: {canServe: () => false, isStartingUp: () => true}}
		await clock.advance(20)
		expect((await long.end).type).to.equal("completed")
	})

	it("are not waited for later", async () => {
		const {clock, dispatch} = createWorld()
		await clock.advance(2_000)
		const {end, settledAt} = await dispatch(500)
		await clock.advance(5)
		expect((await end).type).to.equal("refused")
		expect(settledAt()).to.be.within(3_000, 3_010)
	})

	/* Guards against refusals in a partitioned domain whose placer is stopping and cannot be replaced. */
	it("include one that leaves, when there is no other", async () => {
		const {clock, view, claimOf, beatOf, asked, dispatch} = createWorld()
		view.noteClaim(claimOf(other, 2))
		await clock.advance(2_000)
		view.applyHeartbeat(beatOf(other, true))
		const {end} = await dispatch(500)
		expect((await end).type).to.equal("completed")
		expect(asked).to.eql(["a-2:1"])
	})

	/* Guards against sending jobs, which may not be retried, to a lost placer until its heartbeats are missed. */
	it("do not include one with open calls that is silent", async () => {
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
		// Without another placer it is better than a refusal.
		view.noteUnreachable(far.session)
		await (
			await dispatch(500)
		).end
		expect(asked.at(-1)).to.equal("a-2:1")
		view.applyHeartbeat(beatOf(far, false))
		// The placer reports so much lag that its silence means nothing.
		view.applyHeartbeat({...beatOf(other, false), lateMs: 60})
		await (
			await dispatch(500)
		).end
		expect(asked.at(-1)).to.equal("a-2:1")
	})
})
