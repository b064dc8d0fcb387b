/**
 * The server side of the JSON service.
 *
 * It sends readings of its clock; clients answer with the time, on that clock, as of which each
 * call was still wanted. So a call never counts as made or wanted later than it was, however long
 * frames are delayed.
 */
import {systemClock} from "@cottonwood/core/clock"
import * as grpc from "@grpc/grpc-js"
import {
	CHANNEL_OPTIONS,
	createFrameWriter,
	decode,
	encode,
	exchangePath,
	floorToTenth,
	forEachFrame,
	messageOf,
	type AnswerFrame,
	type ClientFrame,
	type CallFrame,
	type ConfirmFrame,
	type ServerFrame,
} from "./json-frames.js"

/** Interval between clock readings while calls are pending; each costs both sides a message. */
const READING_INTERVAL_MS = 100
/** Two clocks drift apart by at most 2 ms in this interval. */
const IDLE_READING_INTERVAL_MS = 2_000

/**
 * The caller as seen by a handler; times are in milliseconds on the monotonic clock of this
 * process.
 */
export interface JsonCaller {
	/** Registers a callback for when the answer is no longer wanted; called at most once. */
	readonly onCancel: (callback: () => void) => void
	/** The call was not made before this time. */
	readonly madeAt: number
	/** The latest time as of which the caller is known to have wanted the call. */
	readonly confirmedAt: () => number
}

/** Handles one call; a rejection is sent as an error. */
export type JsonHandler = (message: unknown, caller: JsonCaller) => Promise<unknown>

export interface JsonServer {
	/** The bound port. */
	readonly port: number
	/** Stops listening and closes all connections. */
	close(): void
}

/**
 * Serves methods at an address; rejects when the port is taken. `onBadFrame` is called for each frame of unexpected shape, which is
 * dropped.
 */
export function listenJson(
	service: string,
	address: string,
	handlers: Readonly<Record<string, JsonHandler>>,
	onBadFrame: (error: Error) => void = () => undefined,
): Promise<JsonServer> {
	const server = new grpc.Server(CHANNEL_OPTIONS)
	const exchange = {
		path: exchangePath(service),
		requestStream: true,
		responseStream: true,
		requestSerialize: encode,
		requestDeserialize: decode,
		responseSerialize: encode,
		responseDeserialize: decode,
	}
	const serve = (stream: ExchangeStream) => serveExchange(stream, handlers, onBadFrame)
	server.addService({exchange}, {exchange: serve})
	return new Promise((resolve, reject) => {
		server.bindAsync(address, grpc.ServerCredentials.createInsecure(), (err, port) => {
			if (err) reject(err)
			else resolve({port, close: () => server.forceShutdown()})
		})
	})
}

type ExchangeStream = grpc.ServerDuplexStream<unknown, Buffer>

/** A pending call. */
interface ServedCall {
	/** Callbacks for when the call is cancelled. */
	readonly listeners: (() => void)[]
	confirmedAt: number
}

/** Calls a handler; one that throws at once counts as one that rejects. */
async function callHandler(handler: JsonHandler, message: unknown, caller: JsonCaller) {
	return handler(message, caller)
}

function serveExchange(
	stream: ExchangeStream,
	handlers: Readonly<Record<string, JsonHandler>>,
	onBadFrame: (error: Error) => void,
) {
	const pending = new Map<number, ServedCall>()
	let isBroken = false
	let timer: NodeJS.Timeout | undefined
	const send = createFrameWriter<ServerFrame>(bytes => {
		if (!isBroken) stream.write(bytes)
	})

	function sendReading() {
		send({pulse: floorToTenth(systemClock.now())})
	}

	/** Schedules the next reading, sooner while calls are pending. */
	function scheduleReading() {
		clearTimeout(timer)
		if (isBroken) return
		timer = setTimeout(
			tick,
			pending.size > 0 ? READING_INTERVAL_MS : IDLE_READING_INTERVAL_MS,
		).unref()
	}

	function tick() {
		sendReading()
		scheduleReading()
	}

	function cancel(id: number) {
		const listeners = pending.get(id)?.listeners
		pending.delete(id)
		for (const listener of listeners ?? []) listener()
	}

	function answer(id: number, frame: AnswerFrame) {
		if (!pending.has(id)) return
		send(frame)
		pending.delete(id)
	}

	function confirm({confirmedAt, older}: ConfirmFrame) {
		if (!Number.isFinite(confirmedAt)) throw new Error("a confirmation without its time")
		const exceptions = new Map(older)
		for (const [id, served] of pending)
			served.confirmedAt = Math.max(served.confirmedAt, exceptions.get(id) ?? confirmedAt)
	}

	function begin({id, method, message, madeAt, confirmedAt}: CallFrame) {
		const handler = handlers[method]
		if (!handler) return send({id, error: `no method ${method}`})
		// Without these times the end of the requested work could not be bounded.
		if (!Number.isFinite(madeAt) || !Number.isFinite(confirmedAt))
			return send({id, error: "a call that does not tell its age"})
		const served: ServedCall = {listeners: [], confirmedAt}
		pending.set(id, served)
		if (pending.size === 1) scheduleReading()
		const onCancel = (listener: () => void) => {
			// A call may have been cancelled in the same message.
			if (pending.has(id)) served.listeners.push(listener)
			else listener()
		}
		const caller = {onCancel, madeAt, confirmedAt: () => served.confirmedAt}
		callHandler(handler, message, caller)
			.then(value => answer(id, {id, value}))
			// Also for a value that is no JSON.
			.catch((err: unknown) => answer(id, {id, error: messageOf(err)}))
	}

	function handleFrame(frame: ClientFrame) {
		if ("cancel" in frame) cancel(frame.id)
		else if ("method" in frame) begin(frame)
		else confirm(frame)
	}

	function handleClose() {
		if (isBroken) return
		isBroken = true
		clearTimeout(timer)
		for (const id of [...pending.keys()]) cancel(id)
	}

	// Clients send nothing before they have a reading of this clock.
	tick()
	stream.on("data", (frames: unknown) => forEachFrame<ClientFrame>(frames, handleFrame, onBadFrame))
	stream.on("cancelled", handleClose)
	stream.on("error", handleClose)
	stream.on("end", () => {
		handleClose()
		stream.end()
	})
}
