/**
 * Freezes the frames of the stream between instances as literal JSON. A renamed field fails a test here instead of cutting off
 * the instances of another version.
 */
import {connectJson, listenJson, type JsonCaller} from "@cottonwood/wire/json"
import * as grpc from "@grpc/grpc-js"
import {expect} from "chai"

const PATH = "/test.Service/exchange"
const CALL = '{"id":1,"method":"wait","message":{"text":"a"},"madeAt":1000.5,"confirmedAt":1200}'
const OTHER_CALL = '{"id":2,"method":"wait","message":"b","madeAt":1000,"confirmedAt":1100}'
const CONFIRMATION = '{"confirmedAt":1300,"older":[[2,1250]]}'
const CANCEL = '{"id":2,"cancel":true}'
const PULSE = '{"pulse":5000}'
const ANSWER = '{"id":1,"value":"done"}'
const ERROR = '{"id":2,"error":"broken"}'

const TIMEOUT_MS = 20_000
/** Far above any delay on loopback. */
const MARGIN_MS = 20_000
/** Readings of the server's clock, far from the local clock and from each other, so that a wrong clock or unit fails. */
const FIRST_READING = 5_000_000
const SECOND_READING = 6_000_000
const CONFIRMATION_AGE_MS = 100_000

type Frame = Readonly<Record<string, unknown>>
const asFrame = (text: string) => JSON.parse(text) as Frame
const pulseWith = (reading: number) => PULSE.replace("5000", String(reading))
const write = (text: string) => Buffer.from(text)
const read = (bytes: Buffer) => JSON.parse(bytes.toString("utf8")) as Frame[]
const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms))

async function until(isMet: () => boolean) {
	const giveUpAt = performance.now() + TIMEOUT_MS
	while (!isMet() && performance.now() < giveUpAt) await sleep(10)
	expect(isMet()).to.equal(true)
}

/** Starts a gRPC server that sends literal text and passes received frames to `onFrame`. */
async function listenRaw(onFrame: (frame: Frame, send: (text: string) => void) => void) {
	const server = new grpc.Server()
	const exchange = {
		path: PATH,
		requestStream: true,
		responseStream: true,
		requestSerialize: write,
		requestDeserialize: read,
		responseSerialize: write,
		responseDeserialize: read,
	}
	server.addService(
		{exchange},
		{
			exchange(stream: grpc.ServerDuplexStream<Frame[], string>) {
				const send = (text: string) => void stream.write(`[${text}]`)
				stream.on("data", (frames: Frame[]) => frames.forEach(frame => onFrame(frame, send)))
				stream.on("error", () => undefined)
				send(pulseWith(FIRST_READING))
			},
		},
	)
	const credentials = grpc.ServerCredentials.createInsecure()
	const port = await new Promise<number>((resolve, reject) =>
		server.bindAsync("127.0.0.1:0", credentials, (err, bound) =>
			err ? reject(err) : resolve(bound),
		),
	)
	return {server, address: `127.0.0.1:${port}`}
}

async function freeAddress(): Promise<string> {
	const {server, address} = await listenRaw(() => undefined)
	server.forceShutdown()
	return address
}

describe("frames between instances", () => {
	it("the server reads every frame of a client and writes the same frames", async () => {
		const address = await freeAddress()
		const callers: JsonCaller[] = []
		const messages: unknown[] = []
		const answers: (() => void)[] = []
		const server = await listenJson("test.Service", address, {
			wait(message, caller) {
				messages.push(message)
				callers.push(caller)
				return new Promise(resolve => answers.push(() => resolve("done")))
			},
			fail: () => Promise.reject(new Error("broken")),
		})
		const client = new grpc.Client(address, grpc.credentials.createInsecure())
		const stream = client.makeBidiStreamRequest<string, Frame[]>(PATH, write, read)
		const frames: Frame[] = []
		stream.on("data", (batch: Frame[]) => frames.push(...batch))
		stream.on("error", () => undefined)
		await until(() => frames.length > 0)
		expect(Object.keys(frames[0] as Frame)).to.eql(Object.keys(asFrame(PULSE)))
		expect(frames[0]?.["pulse"]).to.be.a("number")

		stream.write(`[${CALL},${OTHER_CALL}]`)
		await until(() => callers.length === 2)
		expect(messages).to.eql([{text: "a"}, "b"])
		expect(callers.map(({madeAt}) => madeAt)).to.eql([1_000.5, 1_000])
		expect(callers.map(caller => caller.confirmedAt())).to.eql([1_200, 1_100])
		stream.write(`[${CONFIRMATION}]`)
		await until(() => callers[0]?.confirmedAt() === 1_300)
		expect(callers[1]?.confirmedAt()).to.equal(1_250)
		let isCancelled = false
		callers[1]?.onCancel(() => (isCancelled = true))
		stream.write(`[${CANCEL}]`)
		await until(() => isCancelled)

		answers[0]?.()
		stream.write(`[${OTHER_CALL.replace("wait", "fail")}]`)
		await until(() => frames.filter(frame => "id" in frame).length === 2)
		const answered = frames.filter(frame => "id" in frame)
		expect(answered).to.have.deep.members([asFrame(ANSWER), asFrame(ERROR)])
		client.close()
		server.close()
	})

	it("the client reads every frame of a server and writes the same frames", async () => {
		const frames: Frame[] = []
		let send: (text: string) => void = () => undefined
		const raw = await listenRaw((frame, reply) => {
			frames.push(frame)
			send = reply
		})
		const client = connectJson("test.Service", raw.address)
		const secondConfirmedAt = performance.now() - CONFIRMATION_AGE_MS
		const first = client.call("wait", {text: "a"}, TIMEOUT_MS)
		const second = client.call("wait", "b", TIMEOUT_MS, () => secondConfirmedAt)
		const third = client.call("wait", "c", TIMEOUT_MS)
		await until(() => frames.length === 3)
		// The client sends calls only after a reading of the server's clock.
		const sent = frames[0] as Frame
		expect(Object.keys(sent)).to.eql(Object.keys(asFrame(CALL)))
		expect(sent).to.deep.include({id: 1, method: "wait", message: {text: "a"}})
		expect(sent["madeAt"]).to.be.within(FIRST_READING - MARGIN_MS, FIRST_READING)
		expect(sent["confirmedAt"]).to.be.closeTo(FIRST_READING, MARGIN_MS)

		send(pulseWith(SECOND_READING))
		await until(() => frames.length === 4)
		const confirmation = frames[3] as Frame
		expect(Object.keys(confirmation)).to.eql(Object.keys(asFrame(CONFIRMATION)))
		expect(confirmation["confirmedAt"]).to.be.closeTo(SECOND_READING, MARGIN_MS)
		// The clock is read once per call, so `older` may also name calls read before the last one.
		const older = new Map(confirmation["older"] as [number, number][])
		expect(older.get(2)).to.be.closeTo(SECOND_READING - CONFIRMATION_AGE_MS, MARGIN_MS)

		send(ANSWER)
		expect(await first.reply).to.eql({type: "answer", value: "done"})
		send(ERROR)
		expect(await second.reply).to.include({type: "no answer", cause: "broken", wasSent: true})
		third.cancel()
		await until(() => frames.length === 5)
		expect(frames[4]).to.eql({...asFrame(CANCEL), id: 3})
		client.close()
		raw.server.forceShutdown()
	})
})
