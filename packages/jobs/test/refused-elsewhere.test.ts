/** Jobs refused by one placer's forecast that another placer may still take. */
import {silentLog, type Job, type JobEnd} from "@cottonwood/jobs"
import {createDispatcher, createFleetView} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {fakePeers} from "./support/peers.js"
import {QUEUE, STAYING} from "./support/requests.js"

/** Two failure domains placed here: the first refuses after a delay, the second completes everything. */
function createWorld(refuseAfterMs: number, refusal: JobEnd) {
	const clock = createFakeClock()
	const self = {name: "a-1", session: "s", failureDomain: "a", address: "a-1:1", cpuShare: 1}
	const view = createFleetView(clock, () => undefined)
	const asked: string[] = []
	const dispatcher = createDispatcher({
		clock,
		log: silentLog,
		peers: fakePeers(),
		view,
		self,
		hosts: {
			of: (domain: string) => ({domain, placer: {canServe: () => true}}),
			async run({domain}: {readonly domain: string}): Promise<JobEnd> {
				asked.push(domain)
				if (domain === "b") return {type: "completed"}
				await clock.sleep(refuseAfterMs)
				return refusal
			},
		} as never,
		config: () => undefined,
		refreshConfig: () => undefined,
		isLeaving: () => false,
		isEvacuated: () => false,
		ownLateMs: () => 0,
	})
	view.noteClaim({failureDomain: "a", fence: 1, placer: self})
	view.noteClaim({failureDomain: "b", fence: 1, placer: self})
	const need = {cpu: 1_000, memoryMb: 1, accelerators: 0}
	const job: Job = {
		id: "00000000000000aa",
		queue: QUEUE.name,
		spec: "",
		steps: [{count: 1, need, estimateMs: 100, after: []}],
		receivedAt: clock.now(),
		deadlineAt: clock.now() + 1_500,
	}
	async function dispatched(): Promise<JobEnd> {
		const end = dispatcher.dispatch(job, QUEUE, {...STAYING, madeAt: clock.now()})
		await clock.advance(1_000)
		return end
	}
	return {asked, dispatched}
}

const byBacklog: JobEnd = {type: "refused", kind: "overloaded", cause: "test"}
const byForecast: JobEnd = {...byBacklog, retryAfterMs: 1_200}

describe("a job refused by a forecast", () => {
	/* It is refused after 60 ms, and can still be on time with a start within another 60 ms. */
	it("goes to another placer while it can be on time there", async () => {
		const {asked, dispatched} = createWorld(60, byForecast)
		expect(await dispatched()).to.eql({type: "completed"})
		expect(asked).to.eql(["a", "b"])
	})

	it("is answered at once when it can't, with a retry time", async () => {
		const {asked, dispatched} = createWorld(150, byForecast)
		expect(await dispatched()).to.eql(byForecast)
		expect(asked).to.eql(["a"])
	})

	it("isn't tried elsewhere after a wait when it was refused for the backlog", async () => {
		const {asked, dispatched} = createWorld(60, byBacklog)
		expect(await dispatched()).to.eql(byBacklog)
		expect(asked).to.eql(["a"])
	})
})
