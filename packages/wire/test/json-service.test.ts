/**
 * Calls between two instances on one stream: concurrent answers, cancellation, and what a broken
 * stream says about its calls.
 */
import {systemClock} from "@cottonwood/core/clock"
import {connectJson, listenJson, type JsonHandler} from "@cottonwood/wire/json"
import {expect} from "chai"
import {createServer, type AddressInfo, type Socket} from "node:net"

async function freeAddress(): Promise<string> {
	const server = createServer()
	await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve))
	const {port} = server.address() as AddressInfo
	await new Promise(resolve => server.close(resolve))
	return `127.0.0.1:${port}`
}

const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms))

async function createWorld(handlers: Readonly<Record<string, JsonHandler>>) {
	const address = await freeAddress()
	const server = await listenJson("test.Service", address, handlers)
	const client = connectJson("test.Service", address)
	const close = () => {
		client.close()
		server.close()
	}
	return {address, server, client, close}
}

describe("calls between instances", () => {
	it("matches answers to calls, also when they arrive out of order", async () => {
		const {client, close} = await createWorld({
			async echo(message) {
				const {text, waitMs} = message as {text: string; waitMs: number}
				await sleep(waitMs)
				return text
			},
		})
		const calls = [60, 0, 30].map(waitMs =>
			client.call("echo", {text: `after ${waitMs}`, waitMs}, 2_000),
		)
		const replies = await Promise.all(calls.map(({reply}) => reply))
		expect(replies.map(reply => reply.type === "answer" && reply.value)).to.eql([
			"after 60",
			"after 0",
			"after 30",
		])
		close()
	})

	it("notifies the handler when its caller cancels, without affecting other calls", async () => {
		const cancelled: unknown[] = []
		const {client, close} = await createWorld({
			wait(message, {onCancel}) {
				onCancel(() => cancelled.push(message))
				return sleep(150)
			},
		})
		const first = client.call("wait", "first", 2_000)
		const second = client.call("wait", "second", 2_000)
		await sleep(50)
		first.cancel()
		expect((await first.reply).type).to.equal("no answer")
		expect((await second.reply).type).to.equal("answer")
		expect(cancelled).to.eql(["first"])
		close()
	})

	it("counts as quiet only while sent calls get no readings", async () => {
		const {client, close} = await createWorld({wait: () => sleep(400)})
		expect(client.unansweredMs()).to.equal(0)
		const call = client.call("wait", "", 2_000)
		await sleep(350)
		// Readings arrive every 100 ms; the machine may be late.
		expect(client.unansweredMs()).to.be.lessThan(200)
		await call.reply
		expect(client.unansweredMs()).to.equal(0)
		close()
		const silent = createServer(() => undefined)
		await new Promise<void>(resolve => silent.listen(0, "127.0.0.1", resolve))
		const {port} = silent.address() as AddressInfo
		const unanswered = connectJson("test.Service", `127.0.0.1:${port}`)
		unanswered.call("wait", "", 250)
		await sleep(150)
		// A call that was not sent does not count as ignored.
		expect(unanswered.unansweredMs()).to.equal(0)
		unanswered.close()
		silent.close()
	})

	it("times out a call and notifies the handler", async () => {
		let isCancelled = false
		const {client, close} = await createWorld({
			wait(_message, {onCancel}) {
				onCancel(() => (isCancelled = true))
				return sleep(400)
			},
		})
		const reply = await client.call("wait", {}, 60).reply
		expect(reply).to.include({type: "no answer", wasSent: true})
		await sleep(50)
		expect(isCancelled).to.equal(true)
		close()
	})

	/*
	 * Work of a lost call ends by the last confirmation that the server received, so the client must
	 * report that time and not the time of the loss.
	 */
	it("reports the last confirmation that the server received of a lost call", async () => {
		let serverConfirmedAt = -Infinity
		const {server, client} = await createWorld({
			wait(_message, {confirmedAt}) {
				serverConfirmedAt = confirmedAt()
				return sleep(2_000)
			},
		})
		const staleAt = systemClock.now() - 500
		const stale = client.call("wait", {}, 2_000, () => staleAt)
		const fresh = client.call("wait", {}, 2_000)
		await sleep(350)
		const lostAt = systemClock.now()
		server.close()
		const [old, last] = await Promise.all([stale.reply, fresh.reply])
		expect(old).to.include({type: "no answer", lastConfirmedAt: staleAt})
		expect(last)
			.to.have.property("lastConfirmedAt")
			.that.is.within(lostAt - 250, lostAt + 20)
		// Client and server share one clock here.
		expect(serverConfirmedAt).to.be.at.most((last as {lastConfirmedAt: number}).lastConfirmedAt)
		client.close()
	})

	it("ends all calls of a broken stream on both sides, and opens another for the next call", async () => {
		let cancelled = 0
		const handlers: Record<string, JsonHandler> = {
			wait(_message, {onCancel}) {
				onCancel(() => cancelled++)
				return sleep(500)
			},
			now: () => Promise.resolve("now"),
		}
		const {address, server, client} = await createWorld(handlers)
		const calls = [1, 2].map(() => client.call("wait", {}, 2_000))
		await sleep(100)
		server.close()
		const replies = await Promise.all(calls.map(({reply}) => reply))
		// The server may have seen the calls, and may have acted on them.
		for (const reply of replies) expect(reply).to.include({type: "no answer", wasSent: true})
		expect(cancelled).to.equal(2)
		const again = await listenJson("test.Service", address, handlers)
		let reply = await client.call("now", {}, 1_000).reply
		for (let tries = 0; tries < 20 && reply.type !== "answer"; tries++) {
			await sleep(50)
			reply = await client.call("now", {}, 1_000).reply
		}
		expect(reply).to.eql({type: "answer", value: "now"})
		client.close()
		again.close()
	})

	it("reports a call as not sent when there never was a connection", async () => {
		const client = connectJson("test.Service", await freeAddress())
		const reply = await client.call("now", {}, 1_000).reply
		expect(reply).to.include({type: "no answer", wasSent: false, wasRefused: true})
		client.close()
	})

	it("sends many long messages at once", async () => {
		const {client, close} = await createWorld({
			length: message => Promise.resolve((message as {text: string}).text.length),
		})
		// Six megabytes in one turn of the event loop; a message holds four.
		const text = "é".repeat(200_000)
		const calls = Array.from({length: 30}, () => client.call("length", {text}, 5_000))
		const replies = await Promise.all(calls.map(({reply}) => reply))
		for (const reply of replies) expect(reply).to.eql({type: "answer", value: 200_000})
		close()
	})

	/*
	 * Guards against calls that wait for seconds on a connection attempt whose first packet was
	 * lost, and then count as possibly seen by the peer.
	 */
	it("replaces a stuck attempt to connect, and reports its calls as not sent", async () => {
		const address = await freeAddress()
		const sockets: Socket[] = []
		const mute = createServer(socket => sockets.push(socket))
		const [host, port] = address.split(":")
		await new Promise<void>(resolve => mute.listen(Number(port), host, resolve))
		const client = connectJson("test.Service", address)
		const begunAt = performance.now()
		const reply = await client.call("now", {}, 5_000).reply
		// An unanswered attempt does not show that the process is gone.
		expect(reply).to.include({type: "no answer", wasSent: false, wasRefused: false})
		expect(performance.now() - begunAt).to.be.within(250, 600)
		for (const socket of sockets) socket.destroy()
		await new Promise(resolve => mute.close(resolve))
		const server = await listenJson("test.Service", address, {now: () => Promise.resolve("now")})
		// After failed attempts the next one is delayed, unless the peer is heard.
		expect(await client.call("now", {}, 1_000).reply).to.include({wasSent: false})
		client.noteReachable()
		expect(await client.call("now", {}, 1_000).reply).to.eql({type: "answer", value: "now"})
		client.close()
		server.close()
	})

	it("fails only the call whose method is unknown or whose handler throws", async () => {
		const {client, close} = await createWorld({
			fail: () => Promise.reject(new Error("broken")),
			now: () => Promise.resolve("now"),
		})
		const replies = await Promise.all(
			["unknown", "fail", "now"].map(method => client.call(method, {}, 1_000).reply),
		)
		expect(replies.map(({type}) => type)).to.eql(["no answer", "no answer", "answer"])
		close()
	})
})
