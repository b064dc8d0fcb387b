/**
 * Calls between two instances on one stream: answers that cross, cancelling, and what a broken stream proves.
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
	it("gives each call its own answer, also when answers cross", async () => {
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

	it("tells the handler when its caller cancels, and the other calls go on", async () => {
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

	it("is heard while calls are under way, and quiet once the other side says nothing", async () => {
		const {client, close} = await createWorld({wait: () => sleep(400)})
		expect(client.quietMs()).to.equal(0)
		const call = client.call("wait", "", 2_000)
		await sleep(350)
		// Readings come each 100 ms; this machine may be late.
		expect(client.quietMs()).to.be.lessThan(200)
		await call.reply
		expect(client.quietMs()).to.equal(0)
		close()
		const silent = createServer(() => undefined)
		await new Promise<void>(resolve => silent.listen(0, "127.0.0.1", resolve))
		const {port} = silent.address() as AddressInfo
		const unanswered = connectJson("test.Service", `127.0.0.1:${port}`)
		unanswered.call("wait", "", 250)
		await sleep(150)
		// What was never sent cannot have been passed over.
		expect(unanswered.quietMs()).to.equal(0)
		unanswered.close()
		silent.close()
	})

	it("gives up after a call's time-out and tells the handler", async () => {
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
	 * What the other side was told last is all that it can go by, so a lost call's work is over by that and not by when the loss
	 * was noticed. A caller that was heard long ago is told so.
	 */
	it("says of a lost call as of when the other side was last told that it is wanted", async () => {
		let toldAt = -Infinity
		const {server, client} = await createWorld({
			wait(_message, {confirmedAt}) {
				toldAt = confirmedAt()
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
		// Both are processes of one clock here.
		expect(toldAt).to.be.at.most((last as {lastConfirmedAt: number}).lastConfirmedAt)
		client.close()
	})

	it("ends all calls on a broken stream for both sides, and the next call opens another", async () => {
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
		// The peer may have seen them: what they asked for may have been done.
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

	it("knows that a peer to which there never was a connection has not seen a call", async () => {
		const client = connectJson("test.Service", await freeAddress())
		const reply = await client.call("now", {}, 1_000).reply
		expect(reply).to.include({type: "no answer", wasSent: false, wasRefused: true})
		client.close()
	})

	it("sends any number of long messages at once", async () => {
		const {client, close} = await createWorld({
			length: message => Promise.resolve((message as {text: string}).text.length),
		})
		// Six megabytes in one turn of the loop; a message holds four.
		const text = "é".repeat(200_000)
		const calls = Array.from({length: 30}, () => client.call("length", {text}, 5_000))
		const replies = await Promise.all(calls.map(({reply}) => reply))
		for (const reply of replies) expect(reply).to.eql({type: "answer", value: 200_000})
		close()
	})

	/*
	 * Symptom: up to 2.6 s after a cut had healed tasks handed to the domain were lost, 26 in 3 s, with room there. Sequence:
	 * a connection is begun while the link is cut; its first packet is lost and sent again after seconds; beats are heard
	 * at once, calls wait for the connection and count as seen by the peer. Cause: no time-out of the attempt itself.
	 * Settled by `task_handed_over` lines, `silent` after 1.9 to 2.6 s.
	 */
	it("gives up an attempt to connect that gets nowhere, says that nothing was sent, and begins another", async () => {
		const address = await freeAddress()
		const sockets: Socket[] = []
		const mute = createServer(socket => sockets.push(socket))
		const [host, port] = address.split(":")
		await new Promise<void>(resolve => mute.listen(Number(port), host, resolve))
		const client = connectJson("test.Service", address)
		const begunAt = performance.now()
		const reply = await client.call("now", {}, 5_000).reply
		// The machine is there and busy, or cut off: nothing says that the process is gone.
		expect(reply).to.include({type: "no answer", wasSent: false, wasRefused: false})
		expect(performance.now() - begunAt).to.be.within(250, 600)
		for (const socket of sockets) socket.destroy()
		await new Promise(resolve => mute.close(resolve))
		const server = await listenJson("test.Service", address, {now: () => Promise.resolve("now")})
		// Attempts in vain leave sockets behind, so the next one waits a little, or for news of the peer.
		expect(await client.call("now", {}, 1_000).reply).to.include({wasSent: false})
		client.noteReachable()
		expect(await client.call("now", {}, 1_000).reply).to.eql({type: "answer", value: "now"})
		client.close()
		server.close()
	})

	it("answers a method that nobody handles, or whose handler throws, with a failure of that call alone", async () => {
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
