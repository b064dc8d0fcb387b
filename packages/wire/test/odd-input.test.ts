/**
 * Fails when input that another version or another program sends ends this process: frames that are no frames, a handler that
 * throws at once, an address that cannot be sent to.
 */
import {openDatagrams} from "@cottonwood/wire/datagrams"
import {connectJson, listenJson, type JsonHandler} from "@cottonwood/wire/json"
import * as grpc from "@grpc/grpc-js"
import {expect} from "chai"
import {createServer, type AddressInfo} from "node:net"

const SERVICE = "test.Service"
const PATH = `/${SERVICE}/exchange`
const TIMEOUT_MS = 1_000

/** Lists without frames, in one message each. */
const ODD_MESSAGES = ["null", "5", "{}", "[null]", '["text"]', '[{"confirmedAt":1,"older":5}]']
const PULSE = '[{"pulse":1000}]'

const pass = (bytes: Buffer) => bytes
const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms))

async function freeAddress(): Promise<string> {
	const server = createServer()
	await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve))
	const {port} = server.address() as AddressInfo
	await new Promise(resolve => server.close(resolve))
	return `127.0.0.1:${port}`
}

/** Sends text as it is on a stream of its own. */
async function sendRaw(address: string, text: string) {
	const client = new grpc.Client(address, grpc.credentials.createInsecure())
	const stream = client.makeBidiStreamRequest(PATH, pass, pass)
	stream.on("error", () => undefined)
	await new Promise(resolve => stream.once("data", resolve))
	stream.write(Buffer.from(text))
	await sleep(50)
	stream.cancel()
	client.close()
}

/** A server that follows its first reading of the clock with text as it is. */
async function listenRaw(text: string) {
	const server = new grpc.Server()
	const serialization = {
		requestSerialize: pass,
		requestDeserialize: pass,
		responseSerialize: pass,
		responseDeserialize: pass,
	}
	const exchange = {path: PATH, requestStream: true, responseStream: true, ...serialization}
	const serve = (stream: grpc.ServerDuplexStream<Buffer, Buffer>) => {
		stream.on("error", () => undefined)
		stream.write(Buffer.from(PULSE))
		stream.write(Buffer.from(text))
	}
	server.addService({exchange}, {exchange: serve})
	const credentials = grpc.ServerCredentials.createInsecure()
	const port = await new Promise<number>((resolve, reject) =>
		server.bindAsync("127.0.0.1:0", credentials, (err, bound) =>
			err ? reject(err) : resolve(bound),
		),
	)
	return {address: `127.0.0.1:${port}`, close: () => server.forceShutdown()}
}

async function answerAfter(handlers: Readonly<Record<string, JsonHandler>>, text?: string) {
	const address = await freeAddress()
	const server = await listenJson(SERVICE, address, {echo: async message => message, ...handlers})
	if (text !== undefined) await sendRaw(address, text)
	const client = connectJson(SERVICE, address)
	const method = text === undefined ? "broken" : "echo"
	const reply = await client.call(method, "a", TIMEOUT_MS).reply
	client.close()
	server.close()
	return reply.type
}

async function callRaw(text: string) {
	const server = await listenRaw(text)
	const client = connectJson(SERVICE, server.address)
	expect((await client.call("echo", "a", 200).reply).type, text).to.equal("no answer")
	client.close()
	server.close()
}

/** Collects the messages of rejections that nobody handles; they end a process, but not a test. */
async function rejectionsDuring(act: () => Promise<void>): Promise<readonly string[]> {
	const found: string[] = []
	const note = (error: unknown) => void found.push((error as Error).message)
	const before = process.listeners("unhandledRejection")
	process.removeAllListeners("unhandledRejection").on("unhandledRejection", note)
	try {
		await act()
	} finally {
		process.removeAllListeners("unhandledRejection")
		for (const listener of before) process.on("unhandledRejection", listener)
	}
	return found
}

describe("odd input", () => {
	it("of frames leaves a server at work", async () => {
		const found = await rejectionsDuring(async () => {
			for (const text of ODD_MESSAGES) expect(await answerAfter({}, text), text).to.equal("answer")
		})
		expect(found).to.eql([])
	})

	it("that a handler throws on at once ends only its call", async () => {
		const broken = () => {
			throw new Error("odd message")
		}
		const found = await rejectionsDuring(async () => {
			expect(await answerAfter({broken})).to.equal("no answer")
		})
		expect(found).to.eql([])
	})

	it("of frames leaves a client at work", async () => {
		const found = await rejectionsDuring(async () => {
			for (const text of ODD_MESSAGES) await callRaw(text)
		})
		expect(found).to.eql([])
	})

	it("of a time-out that no timer can hold is a long one", async () => {
		const address = await freeAddress()
		const slow = (message: unknown) => sleep(30).then(() => message)
		const server = await listenJson(SERVICE, address, {slow})
		const client = connectJson(SERVICE, address)
		for (const timeoutMs of [2 ** 31, Infinity])
			expect((await client.call("slow", "a", timeoutMs).reply).type).to.equal("answer")
		client.close()
		server.close()
	})

	it("of addresses makes a datagram count as lost", async () => {
		const unused = () => undefined
		const datagrams = await openDatagrams(await freeAddress(), unused, unused)
		for (const address of ["10.0.0.1:99999", "nowhere", "", "10.0.0.1:x", undefined])
			expect(() => datagrams.send(address as string, {}), address).not.to.throw()
		datagrams.close()
	})
})
