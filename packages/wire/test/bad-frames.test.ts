/**
 * Frames of unexpected shape, and handlers that throw. Guards against a peer of another version, or one that calls too early,
 * whose message ends the process.
 */
import {connectJson, listenJson} from "@cottonwood/wire/json"
import * as grpc from "@grpc/grpc-js"
import {expect} from "chai"

const PATH = "/test.Service/exchange"
const BAD = [
	"7",
	"null",
	"{}",
	'"text"',
	"[null]",
	"[7]",
	"[[]]",
	"[{}]",
	'[{"confirmedAt":1,"older":7}]',
]
const bytesOf = (text: string) => Buffer.from(text)
const read = (bytes: Buffer) =>
	JSON.parse(bytes.toString("utf8")) as Readonly<Record<string, unknown>>[]

const HANDLERS = {
	now: () => Promise.resolve("now"),
	throwError() {
		throw new Error("not ready")
	},
	rejectNothing: () => Promise.reject(undefined),
}

describe("a message of unexpected shape", () => {
	it("is counted by the server, which answers the next call on the same stream", async () => {
		const causes: string[] = []
		const server = await listenJson("test.Service", "127.0.0.1:0", HANDLERS, error =>
			causes.push(error.message),
		)
		const client = new grpc.Client(`127.0.0.1:${server.port}`, grpc.credentials.createInsecure())
		const stream = client.makeBidiStreamRequest(PATH, bytesOf, read)
		const answered = new Promise<unknown>((resolve, reject) => {
			stream.on("error", reject)
			stream.on("data", (frames: Readonly<Record<string, unknown>>[]) =>
				frames.filter(({id}) => id === 1).forEach(resolve),
			)
		})
		for (const text of BAD) stream.write(text)
		stream.write('[null,{"id":1,"method":"now","message":{},"madeAt":0,"confirmedAt":0}]')
		expect(await answered).to.eql({id: 1, value: "now"})
		expect(causes).to.have.length(BAD.length + 1)
		stream.cancel()
		client.close()
		server.close()
	})

	it("is passed over by the client, whose next call is answered", async () => {
		const server = new grpc.Server()
		const codec = {requestSerialize: bytesOf, requestDeserialize: read}
		const answers = {responseSerialize: bytesOf, responseDeserialize: read}
		const exchange = {path: PATH, requestStream: true, responseStream: true, ...codec, ...answers}
		server.addService(
			{exchange},
			{
				exchange(stream: grpc.ServerDuplexStream<{id: number}[], string>) {
					for (const text of ["7", "null", "{}", "[null]", "[7]", '[{"pulse":5000}]'])
						stream.write(text)
					stream.on("error", () => undefined)
					stream.on("data", ([frame]: {id: number}[]) =>
						stream.write(`[null,{"id":${frame?.id},"value":"now"}]`),
					)
				},
			},
		)
		const port = await new Promise<number>((resolve, reject) =>
			server.bindAsync("127.0.0.1:0", grpc.ServerCredentials.createInsecure(), (err, bound) =>
				err ? reject(err) : resolve(bound),
			),
		)
		const client = connectJson("test.Service", `127.0.0.1:${port}`)
		const reply = await client.call("now", {}, 2_000).reply
		expect(reply).to.deep.include({type: "answer", value: "now"})
		client.close()
		server.forceShutdown()
	})

	it("is answered with an error when its handler throws, or rejects without a cause", async () => {
		const server = await listenJson("test.Service", "127.0.0.1:0", HANDLERS)
		const client = connectJson("test.Service", `127.0.0.1:${server.port}`)
		const methods = ["throwError", "rejectNothing", "now"]
		const replies = await Promise.all(methods.map(method => client.call(method, {}, 2_000).reply))
		expect(replies.map(reply => (reply.type === "answer" ? reply.value : reply.cause))).to.eql([
			"not ready",
			"undefined",
			"now",
		])
		client.close()
		server.close()
	})
})
