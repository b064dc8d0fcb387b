/**
 * The side of a stream that is called.
 *
 * It sends readings of its clock, and learns from what comes back as of when each call was still wanted, on that
 * clock. So however long frames lie on the way or unread on either side, a call never counts as
 * younger, or as wanted for longer, than it was.
 */
import {systemClock} from "@cottonwood/core/clock"
import * as grpc from "@grpc/grpc-js"
import {
	CHANNEL_OPTIONS,
	createFrameWriter,
	decode,
	encode,
	exchangePath,
	roundedDown,
	type AnswerFrame,
	type CallerFrame,
	type CallFrame,
	type ConfirmFrame,
	type ServerFrame,
} from "./json-frames.js"

/** Between two readings of the clock while calls are under way: a ninth of a lease; each costs both sides a message. */
const PULSE_MS = 100
/** And while none is: two clocks drift apart by two milliseconds in this time at most. */
const IDLE_PULSE_MS = 2_000

/** Whoever made a call, as its handler sees it; times are steady milliseconds of this process. */
export interface JsonCaller {
	/** Calls back once, when nobody wants the answer any more. */
	readonly onCancel: (callback: () => void) => void
	/** The call was not made before this, and not much later unless something was held up. */
	readonly madeAt: number
	/** The latest time as of which the caller is known to have wanted the call; it stays when the call is over. */
	readonly confirmedAt: () => number
}

/** Handles one call. */
export type JsonHandler = (message: unknown, caller: JsonCaller) => Promise<unknown>

export interface JsonServer {
	/** Stops listening and drops the connections. */
	close(): void
}

/** Serves methods at an address; rejects when the port is taken. */
export function listenJson(
	service: string,
	address: string,
	handlers: Readonly<Record<string, JsonHandler>>,
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
	const serve = (stream: ExchangeStream) => serveExchange(stream, handlers)
	server.addService({exchange}, {exchange: serve})
	return new Promise((resolve, reject) => {
		server.bindAsync(address, grpc.ServerCredentials.createInsecure(), err => {
			if (err) reject(err)
			else resolve({close: () => server.forceShutdown()})
		})
	})
}

type ExchangeStream = grpc.ServerDuplexStream<unknown, Buffer>

/** A call under way. */
interface Served {
	/** Those who want to know that it is over for its caller. */
	readonly listeners: (() => void)[]
	confirmedAt: number
}

function serveExchange(stream: ExchangeStream, handlers: Readonly<Record<string, JsonHandler>>) {
	const underWay = new Map<number, Served>()
	let isBroken = false
	let timer: NodeJS.Timeout | undefined
	const send = createFrameWriter<ServerFrame>(bytes => {
		if (!isBroken) stream.write(bytes)
	})

	function sendPulse() {
		send({pulse: roundedDown(systemClock.now())})
	}

	/** Sends the next reading when it is due, sooner once a call is under way. */
	function schedulePulse() {
		clearTimeout(timer)
		if (isBroken) return
		timer = setTimeout(pulse, underWay.size > 0 ? PULSE_MS : IDLE_PULSE_MS).unref()
	}

	function pulse() {
		sendPulse()
		schedulePulse()
	}

	function cancel(id: number) {
		const listeners = underWay.get(id)?.listeners
		underWay.delete(id)
		for (const listener of listeners ?? []) listener()
	}

	function answer(id: number, frame: AnswerFrame) {
		if (underWay.delete(id)) send(frame)
	}

	function confirm({confirmedAt, older}: ConfirmFrame) {
		const exceptions = new Map(older)
		for (const [id, served] of underWay)
			served.confirmedAt = Math.max(served.confirmedAt, exceptions.get(id) ?? confirmedAt)
	}

	function begin({id, method, message, madeAt, confirmedAt}: CallFrame) {
		const handler = handlers[method]
		if (!handler) return send({id, error: `no method ${method}`})
		// Without them nobody could tell when what is asked for has certainly ended.
		if (!Number.isFinite(madeAt) || !Number.isFinite(confirmedAt))
			return send({id, error: "a call that does not tell its age"})
		const served: Served = {listeners: [], confirmedAt}
		underWay.set(id, served)
		if (underWay.size === 1) schedulePulse()
		const onCancel = (listener: () => void) => {
			// A call that was read together with its cancelling tells of it only here.
			if (underWay.has(id)) served.listeners.push(listener)
			else listener()
		}
		handler(message, {onCancel, madeAt, confirmedAt: () => served.confirmedAt}).then(
			value => answer(id, {id, value}),
			(err: Error) => answer(id, {id, error: err.message}),
		)
	}

	function take(frame: CallerFrame) {
		if ("cancel" in frame) cancel(frame.id)
		else if ("method" in frame) begin(frame)
		else confirm(frame)
	}

	function breakOff() {
		if (isBroken) return
		isBroken = true
		clearTimeout(timer)
		for (const id of [...underWay.keys()]) cancel(id)
	}

	// The caller's side sends nothing before it has a reading: what it sends can tell its age.
	pulse()
	stream.on("data", (frames: readonly CallerFrame[]) => frames.forEach(take))
	stream.on("cancelled", breakOff)
	stream.on("error", breakOff)
	stream.on("end", () => {
		breakOff()
		stream.end()
	})
}
