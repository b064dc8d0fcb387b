/**
 * A temporary overload, replayed through the detection of dead placers: three instances of one failure domain, whose
 * processes do one thing at a time, so that heartbeats, pings and answers wait behind the work.
 */
import type {Clock} from "@cottonwood/core"
import {createJobMetrics, silentLog, type Claim, type Member} from "@cottonwood/jobs"
import {claimKey, createClaimsLoop, createFleetView, memberKey} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {createFakeStore} from "./support/fake-store.js"

const BEAT_MS = 200
const USUAL_PING_MS = 350
/** A connection that isn't accepted within this time is given up, as in the client of calls between instances. */
const ESTABLISH_MS = 300
const LOOK_MS = 20
/** Processor seconds needed per second of arrivals. */
const USUAL_LOAD = 0.6
const BURST = {from: 500, until: 4_500, times: 2.5}
/** A placer later than this refuses jobs, at a fifth of a job's cost. */
const USELESS_MS = 600
const REFUSAL_SHARE = 0.2
/** Work that a new placer has at first: connections to executors and runs to repeat. */
const TAKEOVER_WORK_MS = 1_500
const LENGTH_MS = 12_000
/** Queued work is done this long after the end of the burst. */
const OVER_WITHIN_MS = 1_500

/** A process that does one thing at a time. */
function createProcess(clock: Clock) {
	let busyUntil = 0
	const lateMs = () => Math.max(0, busyUntil - clock.now())
	const inTurn = (callback: () => void) => void clock.schedule(lateMs(), callback)
	return {
		lateMs,
		inTurn,
		work(ms: number) {
			busyUntil = Math.max(clock.now(), busyUntil) + ms
		},
		clock: {
			...clock,
			schedule: (ms, callback) => clock.schedule(ms, () => inTurn(callback)),
			sleep: ms =>
				new Promise<void>(resolve => void clock.schedule(ms, () => inTurn(() => resolve()))),
		} satisfies Clock,
	}
}

/** What a connection that isn't accepted in time counts as. */
type Judge = "as its end" | "as a late one"

async function replay(judge: Judge) {
	const clock = createFakeClock()
	const {fake, store} = createFakeStore()
	const startedAt = clock.now()
	const members = ["a-1", "a-2", "a-3"].map((name): Member => {
		return {name, session: `${name}-s`, failureDomain: "a", address: `${name}:1`, cpuShare: 0.12}
	})
	const processes = new Map(members.map(({session}) => [session, createProcess(clock)]))
	const processOf = ({session}: Member) =>
		processes.get(session) as ReturnType<typeof createProcess>
	const [first] = members as [Member, ...Member[]]
	fake.write(claimKey("a"), {failureDomain: "a", fence: 1, placer: first} satisfies Claim)
	for (const member of members) fake.write(memberKey(member.name), member)
	const placer = () => (fake.items.get(claimKey("a"))?.value as Claim).placer
	const views = members.map(self => {
		const own = processOf(self)
		const view = createFleetView(clock, claim => {
			if (claim.fence > 1 && claim.placer.session === self.session) own.work(TAKEOVER_WORK_MS)
		})
		view.applyListing([...fake.items.values()])
		const toldLateMs = judge === "as a late one" ? own.lateMs : () => 0

		async function ping(member: Member, patienceMs: number): Promise<string | undefined> {
			const isInTime = processOf(member).lateMs() <= USUAL_PING_MS + patienceMs
			await clock.sleep(Math.min(processOf(member).lateMs(), USUAL_PING_MS + patienceMs))
			return isInTime ? member.session : undefined
		}
		function beat() {
			const known = fake.items.get(claimKey("a")) as NonNullable<ReturnType<typeof fake.items.get>>
			const news = {from: self, claims: [known.value as Claim], rooms: {}, isLeaving: false}
			if (placer().session === self.session)
				for (const other of views)
					processOf(other.self).inTurn(() =>
						other.view.applyHeartbeat({...news, configVersion: 1, lateMs: toldLateMs()}),
					)
			own.clock.schedule(BEAT_MS, beat)
		}
		createClaimsLoop({
			clock: own.clock,
			store,
			log: silentLog,
			metrics: createJobMetrics(),
			self,
			view,
			failureDomains: () => ["a"],
			isLeaving: () => false,
			ping,
			ownLateMs: toldLateMs,
			canReachExecutors: () => Promise.resolve(true),
			hasKeptJobs: () => Promise.resolve(false),
			onCutOff: () => undefined,
		})
		own.clock.schedule(BEAT_MS, beat)
		return {self, view}
	})

	function load() {
		const at = clock.now() - startedAt
		const times = at >= BURST.from && at < BURST.until ? BURST.times : 1
		const target = processOf(placer())
		const isRefused = target.lateMs() > USELESS_MS
		target.work(LOOK_MS * USUAL_LOAD * times * (isRefused ? REFUSAL_SHARE : 1))
		if (target.lateMs() > ESTABLISH_MS)
			for (const {view} of views) {
				if (judge === "as its end") view.noteGone(placer().session)
				else view.noteUnreachable(placer().session)
			}
		clock.schedule(LOOK_MS, load)
	}
	load()
	const lateAt: number[] = []
	for (let ms = 0; ms < LENGTH_MS; ms += 100) {
		await clock.advance(100)
		lateAt.push(processOf(placer()).lateMs())
	}
	const lateFrom = (ms: number) => Math.max(...lateAt.slice(ms / 100))
	const {fence} = fake.items.get(claimKey("a"))?.value as Claim
	return {changes: fence - 1, lateFrom}
}

describe("a temporary overload", () => {
	/* Guards against a takeover storm: late placers were taken for dead, and each successor was late as well. */
	it("moves the domain, and lasts longer, when late placers are taken for dead", async () => {
		const {changes, lateFrom} = await replay("as its end")
		expect(changes).to.be.greaterThan(1)
		expect(lateFrom(BURST.until + OVER_WITHIN_MS)).to.be.greaterThan(ESTABLISH_MS)
	})

	it("moves no domain and ends soon when late placers count as alive", async () => {
		const {changes, lateFrom} = await replay("as a late one")
		expect(changes).to.equal(0)
		expect(lateFrom(BURST.until + OVER_WITHIN_MS)).to.be.lessThan(50)
	})
})
