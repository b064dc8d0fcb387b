/**
 * Deletion of the ends of kept jobs: not before callers may have asked for them, all of them after that, and whatever else
 * stands under such a key.
 */
import {createJobMetrics, silentLog} from "@cottonwood/jobs"
import {createWallClock, endedJobKey, openJobKey, startSweeper} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {createFakeStore} from "./support/fake-store.js"
import {accept, createKeeperWorld, ID} from "./support/keeper-world.js"

const RETENTION_MS = 120_000
const SWEEP_MS = 60_000
const MARGIN_MS = 60_000
/** More than one transaction of the store removes. */
const ENDS = 70
const FOREIGN_VALUES = [null, "text", 7, [], {}, {endedAtMs: "then"}]

describe("the ends of kept jobs", () => {
	async function createWorld(isOnDuty: boolean) {
		const clock = createFakeClock()
		const {fake, store} = createFakeStore()
		const wall = createWallClock(clock)
		const sweeper = startSweeper({
			clock,
			wall,
			store,
			log: silentLog,
			metrics: createJobMetrics(),
			retentionMs: RETENTION_MS,
			isOnDuty: () => isOnDuty,
		})
		for (let at = 0; at < ENDS; at++)
			fake.write(endedJobKey(String(at)), {state: "completed", endedAtMs: wall.now()})
		return {clock, fake, wall, sweeper}
	}

	it("are kept for the retention time, and then deleted", async () => {
		const {clock, fake, wall, sweeper} = await createWorld(true)
		await clock.advance(RETENTION_MS)
		expect(fake.items.size).to.equal(ENDS)
		fake.write(endedJobKey("late"), {state: "failed", endedAtMs: wall.now()})
		await clock.advance(MARGIN_MS + 2 * SWEEP_MS)
		expect([...fake.items.keys()]).to.eql([endedJobKey("late")])
		sweeper.close()
	})

	it("are deleted by one instance only", async () => {
		const {clock, fake, sweeper} = await createWorld(false)
		await clock.advance(10 * SWEEP_MS)
		expect(fake.items.size).to.equal(ENDS)
		sweeper.close()
	})

	// An entry without fields ended the process that read it.
	it("are deleted beside entries of other writers", async () => {
		const {clock, fake, sweeper} = await createWorld(true)
		FOREIGN_VALUES.forEach((value, at) => fake.write(endedJobKey(`foreign ${at}`), value))
		await clock.advance(RETENTION_MS + MARGIN_MS + 2 * SWEEP_MS)
		expect(fake.items.size).to.equal(FOREIGN_VALUES.length)
		sweeper.close()
	})
})

describe("a placer that reads its kept jobs", () => {
	it("restores them beside entries of other writers", async () => {
		const world = createKeeperWorld()
		const first = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, first.keeper)
		first.close()
		FOREIGN_VALUES.forEach((value, at) => world.fake.write(openJobKey(`foreign ${at}`), value))
		const second = world.beginPlacing()
		await world.clock.advance(200)
		expect([second.keeper.jobCount(), second.keeper.stateOf(ID)]).to.eql([1, "running"])
		expect(second.keeper.isRestoring()).to.equal(false)
	})
})
