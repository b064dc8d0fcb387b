/**
 * The time as of which a call is known to be wanted, on the server's clock.
 */
import {connectJson, listenJson, type JsonCaller} from "@cottonwood/wire/json"
import * as grpc from "@grpc/grpc-js"
import {expect} from "chai"
import fc from "fast-check"
import {createPeerClock} from "@cottonwood/wire/internals"
import {createServer, type AddressInfo} from "node:net"

const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms))
/** Long enough for a few clock readings. */
const READINGS_MS = 350
/** Allows for rounding and for other tests in the same event loop. */
const NOISE_MS = 60

async function freeAddress(): Promise<string> {
	const server = createServer()
	await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve))
	const {port} = server.address() as AddressInfo
	await new Promise(resolve => server.close(resolve))
	return `127.0.0.1:${port}`
}

async function createWorld() {
	const address = await freeAddress()
	const callers = new Map<unknown, JsonCaller>()
	const server = await listenJson("test.Service", address, {
		async wait(message, caller) {
			callers.set(message, caller)
			await sleep(3_000)
		},
		now: () => Promise.resolve("now"),
	})
	const client = connectJson("test.Service", address)
	await client.call("now", {}, 1_000).reply

	function callerOf(message: string): JsonCaller {
		const caller = callers.get(message)
		if (!caller) throw new Error(`${message} did not arrive`)
		return caller
	}

	const close = () => {
		client.close()
		server.close()
	}
	return {client, callerOf, close}
}

describe("a call's confirmation", () => {
	it("advances while the caller wants the call, and is never too late", async () => {
		const {client, callerOf, close} = await createWorld()
		const madeAt = performance.now()
		client.call("wait", "a", 2_000)
		await sleep(20)
		expect(callerOf("a").madeAt).to.be.within(madeAt - NOISE_MS, madeAt)
		await sleep(READINGS_MS)
		const confirmedAt = callerOf("a").confirmedAt()
		expect(confirmedAt).to.be.within(performance.now() - 100 - NOISE_MS, performance.now())
		close()
	})

	it("is kept for each call", async () => {
		const {client, callerOf, close} = await createWorld()
		const unheardSince = performance.now()
		client.call("wait", "heard", 2_000)
		client.call("wait", "unheard", 2_000, () => unheardSince)
		await sleep(READINGS_MS)
		expect(callerOf("unheard").confirmedAt()).to.be.within(unheardSince - NOISE_MS, unheardSince)
		expect(callerOf("heard").confirmedAt()).to.be.greaterThan(unheardSince + 100)
		close()
	})

	it("does not advance after the call is cancelled", async () => {
		const {client, callerOf, close} = await createWorld()
		client.call("wait", "other", 2_000)
		const call = client.call("wait", "a", 2_000)
		await sleep(50)
		call.cancel()
		const cancelledAt = performance.now()
		await sleep(READINGS_MS)
		expect(callerOf("a").confirmedAt()).to.be.at.most(cancelledAt)
		expect(callerOf("other").confirmedAt()).to.be.greaterThan(cancelledAt)
		close()
	})

	it("starts at the time that the caller knew when it made the call", async () => {
		const {client, callerOf, close} = await createWorld()
		const knownAt = performance.now() - 5_000
		client.call("wait", "a", 2_000, () => knownAt)
		await sleep(20)
		expect(callerOf("a").confirmedAt()).to.be.at.most(knownAt)
		close()
	})
})

describe("a peer's clock", () => {
	it("is never overestimated, however long readings were delayed", () => {
		const reading = fc.record({
			sentAt: fc.integer({min: 0, max: 60_000}),
			onTheWayMs: fc.integer({min: 0, max: 5_000}),
		})
		const drift = fc.double({min: -0.000_9, max: 0.000_9, noNaN: true})
		fc.assert(
			fc.property(fc.array(reading, {minLength: 1}), drift, (readings, rate) => {
				const peerTimeOf = (at: number) => 7_000 + at * (1 + rate)
				const clock = createPeerClock()
				const arrivals = readings
					.map(({sentAt, onTheWayMs}) => ({sentAt, at: sentAt + onTheWayMs}))
					.sort((a, b) => a.at - b.at)
				for (const {sentAt, at} of arrivals) clock.observe(peerTimeOf(sentAt), at)
				for (const at of [0, 30_000, 90_000])
					expect(clock.toPeer(at)).to.be.at.most(peerTimeOf(at) + 1e-6)
			}),
		)
	})
})

describe("a call without times", () => {
	it("is refused, since the end of its work could not be bounded", async () => {
		const address = await freeAddress()
		let begun = 0
		const count = () => {
			begun++
			return Promise.resolve("done")
		}
		const server = await listenJson("test.Service", address, {count})
		const client = new grpc.Client(address, grpc.credentials.createInsecure())
		const stream = client.makeBidiStreamRequest<Buffer, Buffer>(
			"/test.Service/exchange",
			bytes => bytes,
			bytes => bytes,
		)
		const answers: string[] = []
		stream.on("data", (bytes: Buffer) => answers.push(bytes.toString("utf8")))
		stream.on("error", () => undefined)
		stream.write(Buffer.from(JSON.stringify([{id: 1, method: "count", message: {}}])))
		await sleep(200)
		expect(begun).to.equal(0)
		expect(answers.join()).to.include("does not tell its age")
		stream.cancel()
		client.close()
		server.close()
	})
})
