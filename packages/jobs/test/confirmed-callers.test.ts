/**
 * The time as of which a caller wants its work is passed on from the connection to the run. Each
 * test fails if one step omits it.
 */
import {createJobMetrics, silentLog, type Claim, type Job} from "@cottonwood/jobs"
import {
	createDispatcher,
	createFleetView,
	createOverflow,
	startJobRun,
	type JobMessage,
	type TaskMessage,
	type TaskRequest,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {LEASE_RULE, QUEUE, taskRequest} from "./support/requests.js"
import {fakePeers} from "./support/peers.js"

const HEARD_AT = 777
const member = (name: string, failureDomain: string) => ({
	name,
	session: `${name}-s`,
	failureDomain,
	address: `${name}:1`,
	cpuShare: 1,
})
const self = member("a-1", "a")
const other = member("b-1", "b")
const claim: Claim = {failureDomain: "b", fence: 1, placer: other}
const ignore = () => undefined

interface Forwarded {
	readonly message: JobMessage | TaskMessage
	readonly confirmedAt: () => number
}

function createWorld(isPlacedHere: boolean) {
	const clock = createFakeClock()
	const view = createFleetView(clock, ignore)
	view.noteClaim(claim)
	const room = {freeCpu: [54_000], totalCpu: 64_000, waitingWork: 0, labels: []}
	view.applyHeartbeat({
		from: other,
		claims: [claim],
		rooms: {b: room},
		isLeaving: false,
		configVersion: 1,
	})
	const forwarded: Forwarded[] = []
	function forward<M extends Forwarded["message"]>(
		_address: string,
		message: M,
		_timeoutMs: number,
		confirmedAt: () => number,
	) {
		forwarded.push({message, confirmedAt})
		return {
			reply: new Promise<never>(ignore),
			wasUnsent: () => false,
			wasRefused: () => false,
			cancel: ignore,
		}
	}
	const peers = fakePeers({runJob: forward<JobMessage>, runTask: forward<TaskMessage>})
	const submitted: TaskRequest[] = []
	const callers: {readonly confirmedAt: () => number}[] = []
	const host = {
		placer: {
			submit(req: TaskRequest) {
				submitted.push(req)
				return {cancel: ignore}
			},
		},
	}
	let unreadMs = 0
	const dispatcher = createDispatcher({
		clock,
		log: silentLog,
		peers,
		view,
		self,
		hosts: {
			of: () => (isPlacedHere ? host : undefined),
			run(_host: unknown, _job: unknown, _queue: unknown, caller: {confirmedAt: () => number}) {
				callers.push(caller)
				return Promise.resolve({type: "completed"})
			},
		} as never,
		config: () => undefined,
		refreshConfig: ignore,
		isLeaving: () => false,
		isEvacuated: () => false,
		ownLateMs: () => 0,
	})
	const overflow = createOverflow({
		clock,
		leaseRule: LEASE_RULE,
		view,
		self,
		log: silentLog,
		metrics: createJobMetrics(),
		peers,
	})
	const job: Job = {
		id: "00000000000000aa",
		queue: QUEUE.name,
		spec: "",
		steps: [],
		receivedAt: clock.now(),
		deadlineAt: clock.now() + 2_000,
	}
	const setUnread = (ms: number) => void (unreadMs = ms)
	const readUpTo = () => clock.now() - unreadMs
	const callHere = () => ({onCancel: ignore, madeAt: readUpTo(), confirmedAt: readUpTo})
	return {clock, callHere, dispatcher, overflow, forwarded, submitted, callers, job, setUnread}
}

const remote = {onCancel: ignore, madeAt: 900, confirmedAt: () => HEARD_AT}

describe("the time as of which a caller wants its work", () => {
	it("is reported to another instance's placer repeatedly, as the time up to which input was read here", async () => {
		const {clock, callHere, dispatcher, forwarded, job, setUnread} = createWorld(false)
		void dispatcher.dispatch(job, QUEUE, callHere())
		await clock.advance(50)
		setUnread(30)
		expect(forwarded.map(({confirmedAt}) => confirmedAt())).to.eql([clock.now() - 30])
	})

	it("reduces a call's remaining time when input may be unread", async () => {
		const {clock, callHere, dispatcher, forwarded, job, setUnread} = createWorld(false)
		setUnread(500)
		void dispatcher.dispatch(job, QUEUE, callHere())
		await clock.advance(1)
		expect(forwarded[0]?.message).to.deep.include({leftMs: 1_500, ageMs: 500})
	})

	it("is taken from the calling instance, for its jobs and its tasks", async () => {
		const {dispatcher, submitted, callers, job} = createWorld(true)
		const both = {failureDomain: "b", from: "other", leftMs: 1_000}
		await dispatcher.runJob({...both, job, queue: QUEUE, ageMs: 0, configVersion: 0}, remote)
		const task = taskRequest("j.0.0.0")
		void dispatcher.runTask({...both, task, startInMs: 100, uselessInMs: 200}, remote)
		expect(callers.map(({confirmedAt}) => confirmedAt())).to.eql([HEARD_AT])
		expect(submitted.map(({confirmedAt}) => confirmedAt())).to.eql([HEARD_AT])
		expect(submitted[0]).to.deep.include({startBy: 1_000, uselessAt: 1_100, deadlineAt: 1_900})
	})

	it("is passed on with a task that is handed to another domain", () => {
		const {overflow, forwarded} = createWorld(false)
		overflow.handOver({
			req: taskRequest("j.0.0.0", {confirmedAt: () => HEARD_AT}),
			since: 0,
			onEnd: ignore,
			onStart: ignore,
		})
		expect(forwarded.map(({confirmedAt}) => confirmedAt())).to.eql([HEARD_AT])
	})

	it("is not advanced once the job is over", async () => {
		const {clock, job} = createWorld(false)
		const submitted: TaskRequest[] = []
		const need = {cpu: 1, memoryMb: 1, accelerators: 0}
		const steps = [{count: 1, need, estimateMs: 100, after: []}]
		const run = startJobRun({...job, steps}, QUEUE, {
			clock,
			log: silentLog,
			metrics: createJobMetrics(),
			confirmedAt: () => clock.now(),
			submit(req) {
				submitted.push(req)
				return {cancel: ignore}
			},
		})
		await clock.advance(40)
		const overAt = clock.now()
		run.cancel()
		await clock.advance(40)
		expect(submitted.map(({confirmedAt}) => confirmedAt())).to.eql([overAt])
	})
})
