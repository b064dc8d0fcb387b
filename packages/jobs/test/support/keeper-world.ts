/**
 * Keepers of one failure domain, one after another, on the same store and executors.
 */
import {createJobMetrics, silentLog, type Claim} from "@cottonwood/jobs"
import {
	claimKey,
	createKeeper,
	createWallClock,
	endedJobKey,
	openJobKey,
	type EndRecord,
	type JobRecord,
	type Keeper,
	type KeeperDeps,
	type KeptJobRequest,
} from "@cottonwood/jobs/internals"
import {createFakeClock, type FakeClock} from "./fake-clock.js"
import {FakeFleet, record} from "./fake-executors.js"
import {createFakeStore} from "./fake-store.js"
import {createTestPlacer} from "./placers.js"
import {step} from "./records.js"
import {LEASE_RULE, QUEUE} from "./requests.js"

export const ID = "00000000000000aa"

export const job = (extra: Partial<KeptJobRequest> = {}): KeptJobRequest => ({
	id: ID,
	queue: "orders",
	spec: "spec",
	steps: [step()],
	...extra,
})

export type KeeperWorld = ReturnType<typeof createKeeperWorld>

export function createKeeperWorld(
	clock: FakeClock = createFakeClock(),
	store = createFakeStore(),
	orders = new FakeFleet(clock),
) {
	const {fake} = store
	let session = 0

	/** Starts a placer under the next fence; the previous one is not notified. */
	function beginPlacing(
		extra: Partial<KeeperDeps> = {},
		orphansWaitMs = 0,
		{listed = ["e1", "e2", "e3"], knowsAllExecutors = true} = {},
	) {
		session++
		const placer = {name: `n${session}`, session: `s${session}`, failureDomain: "a"}
		const member = {...placer, address: "n:1", cpuShare: 1}
		const claim: Claim = {failureDomain: "a", fence: session, placer: member}
		fake.write(claimKey("a"), claim)
		let deposed = 0
		const common = {clock, log: silentLog, metrics: createJobMetrics()}
		const keeper = createKeeper({
			...common,
			wall: createWallClock(clock),
			store: store.store,
			claim,
			leaseRule: LEASE_RULE,
			spacingMs: () => 10,
			queueOf: () => QUEUE,
			isConfigured: () => true,
			findRoom: async () => "no other executor could run it",
			notifyHome: () => undefined,
			onDeposed: () => void deposed++,
			...extra,
		})
		const hosted = createTestPlacer({
			...common,
			orders,
			fence: claim.fence,
			orphansWaitMs,
			knowsAllExecutors,
			kept: keeper,
		})
		keeper.begin(hosted)
		hosted.setExecutors(listed.map(id => record(id)))
		const close = () => {
			keeper.close()
			hosted.close()
		}
		return {keeper, placer: hosted, deposed: () => deposed, close}
	}

	const open = (id = ID) => fake.items.get(openJobKey(id))?.value as JobRecord | undefined
	const end = (id = ID) => fake.items.get(endedJobKey(id))?.value as EndRecord | undefined
	const startsOf = (task: string) => orders.starts.filter(start => start.task === task)
	return {clock, orders, fake, store: store.store, beginPlacing, open, end, startsOf}
}

/** Hands a job in and returns the type of the answer. */
export async function accept({clock}: KeeperWorld, keeper: Keeper, request = job()) {
	const reply = keeper.accept(request)
	await clock.advance(100)
	return (await reply).type
}

export const task = (at: number, id = ID) => `${id}.0.0.${at}`
