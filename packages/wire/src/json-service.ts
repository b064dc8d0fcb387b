/**
 * Services between instances whose messages are JSON: for calls that are frequent and small, where a text that
 * can be read in a capture is worth more than a few bytes.
 *
 * All calls from one instance to another share one gRPC stream, and what is sent in one turn of the loop goes
 * as one message: a call of its own for each costs headers, trailers and a dozen objects on both sides.
 * When the stream breaks, every call under way on it is over, for both sides.
 */
import * as grpc from "@grpc/grpc-js"

const MAX_MESSAGE_BYTES = 4 * 1024 * 1024
/** Frames are sent together up to this; a quarter of the longest message, since a character may take four bytes. */
const BATCH_CHARS = MAX_MESSAGE_BYTES / 4
const MIN_RECONNECT_BACKOFF_MS = 50
const MAX_RECONNECT_BACKOFF_MS = 400
/** A peer that is cut off is noticed after this and the time-out; see docs/PLATFORM.md. */
const KEEPALIVE_MS = 300
const KEEPALIVE_TIMEOUT_MS = 300

/**
 * A connection is there within this, or its first packet was lost: that is sent again after one second, then two, so an
 * attempt that begins while a link is cut outlasts the cut by seconds. Another one is begun instead. Doubled with each
 * attempt that got nowhere: on a machine without processor time a connection takes seconds.
 */
const ESTABLISH_MS = 300
const LONGEST_ESTABLISH_MS = 4_800
/**
 * Between attempts that got nowhere, doubled each time: each leaves a socket behind until the system gives up its packets,
 * after two minutes. At two seconds that is less than a hundred sockets for a peer.
 */
const LONGEST_PAUSE_MS = 2_000
/** A peer that is heard after so long a silence, three beats, was cut off: what was begun meanwhile is in vain. */
const SILENCE_MS = 600

const CHANNEL_OPTIONS: grpc.ChannelOptions = Object.freeze({
	"grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
	"grpc.max_send_message_length": MAX_MESSAGE_BYTES,
	"grpc.initial_reconnect_backoff_ms": MIN_RECONNECT_BACKOFF_MS,
	"grpc.min_reconnect_backoff_ms": MIN_RECONNECT_BACKOFF_MS,
	"grpc.max_reconnect_backoff_ms": MAX_RECONNECT_BACKOFF_MS,
	"grpc.keepalive_time_ms": KEEPALIVE_MS,
	"grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
	"grpc.keepalive_permit_without_calls": 1,
	// A client that is given up takes its attempt to connect with it.
	"grpc.use_local_subchannel_pool": 1,
	// Retries are decided by the product, in one layer only.
	"grpc.enable_retries": 0,
	"grpc.service_config_disable_resolution": 1,
})

/** Messages are written as bytes already. */
const encode = (bytes: Buffer) => bytes
const decode = (bytes: Buffer): unknown => JSON.parse(bytes.toString("utf8"))

/** What the side that calls sends. */
type CallerFrame =
	| {readonly id: number; readonly method: string; readonly message: unknown}
	/** Nobody waits for the answer any more. */
	| {readonly id: number; readonly cancel: true}

/** What the side that is called sends; without a value it could not tell one. */
interface AnswerFrame {
	readonly id: number
	readonly value?: unknown
	readonly error?: string
}

const exchangePath = (service: string) => `/${service}/exchange`

/** Sends the frames of one turn of the loop as one message, or as several when they are long. */
function createFrameWriter<T>(write: (bytes: Buffer) => void) {
	let texts: string[] = []
	let size = 0

	function flush() {
		if (texts.length === 0) return
		const bytes = Buffer.from(`[${texts.join()}]`)
		texts = []
		size = 0
		write(bytes)
	}

	return (frame: T) => {
		const text = JSON.stringify(frame)
		if (size + text.length > BATCH_CHARS) flush()
		if (texts.length === 0) setImmediate(flush)
		texts.push(text)
		size += text.length
	}
}

/** Handles one call; `signal.onCancel` says when the caller no longer wants the answer. */
export type JsonHandler = (
	message: unknown,
	caller: {readonly onCancel: (callback: () => void) => void},
) => Promise<unknown>

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

function serveExchange(stream: ExchangeStream, handlers: Readonly<Record<string, JsonHandler>>) {
	/** Calls under way, each with those who want to know that it is over for its caller. */
	const underWay = new Map<number, (() => void)[]>()
	let isBroken = false
	const send = createFrameWriter<AnswerFrame>(bytes => {
		if (!isBroken) stream.write(bytes)
	})

	function cancel(id: number) {
		const listeners = underWay.get(id)
		underWay.delete(id)
		for (const listener of listeners ?? []) listener()
	}

	function answer(id: number, frame: AnswerFrame) {
		if (underWay.delete(id)) send(frame)
	}

	function take(frame: CallerFrame) {
		const {id} = frame
		if ("cancel" in frame) return cancel(id)
		const handler = handlers[frame.method]
		if (!handler) return send({id, error: `no method ${frame.method}`})
		const listeners: (() => void)[] = []
		underWay.set(id, listeners)
		const onCancel = (listener: () => void) => {
			// A call that was read together with its cancelling tells of it only here.
			if (underWay.has(id)) listeners.push(listener)
			else listener()
		}
		handler(frame.message, {onCancel}).then(
			value => answer(id, {id, value}),
			(err: Error) => answer(id, {id, error: err.message}),
		)
	}

	function breakOff() {
		if (isBroken) return
		isBroken = true
		for (const id of [...underWay.keys()]) cancel(id)
	}

	// The caller's side takes the stream as established once these have arrived.
	stream.sendMetadata(new grpc.Metadata())
	stream.on("data", (frames: readonly CallerFrame[]) => frames.forEach(take))
	stream.on("cancelled", breakOff)
	stream.on("error", breakOff)
	stream.on("end", () => {
		breakOff()
		stream.end()
	})
}

/** What became of a call: an answer, or nothing that can be told. */
export type JsonReply =
	| {readonly type: "answer"; readonly value: unknown}
	/** `wasSent` is false when there never was a connection, so the peer cannot have seen the call. */
	| {readonly type: "no answer"; readonly cause: string; readonly wasSent: boolean}

/** How the library words the failure of a call for which it got no connection. */
const UNSENT = /^No connection established/

/** There is none, and an attempt has got nowhere a short while ago. */
const NO_CONNECTION = Object.freeze({
	type: "no answer",
	cause: "no connection in time",
	wasSent: false,
}) satisfies JsonReply

export interface JsonCall {
	readonly reply: Promise<JsonReply>
	cancel(): void
}

export interface JsonClient {
	call(method: string, message: unknown, timeoutMs: number): JsonCall
	/** The peer was heard by other means: an attempt to connect that is under way in vain is replaced. */
	noteReachable(): void
	close(): void
}

/** Calls under way on one stream, and the stream. */
interface Exchange {
	readonly send: (frame: CallerFrame) => void
	readonly pending: Map<number, (reply: JsonReply) => void>
	/** Begins another attempt, unless there is a connection. */
	readonly connectAnew: () => void
	readonly close: () => void
}

/** Opens a client to an address; it connects on first use. */
export function connectJson(service: string, address: string): JsonClient {
	const newClient = () =>
		new grpc.Client(address, grpc.credentials.createInsecure(), CHANNEL_OPTIONS)
	let client = newClient()
	let current: Exchange | undefined
	let serial = 0
	let failedAttempts = 0
	let pauseUntil = -Infinity
	let heardAt = -Infinity

	const isConnected = () =>
		client.getChannel().getConnectivityState(false) === grpc.connectivityState.READY

	function open(): Exchange {
		const pending: Exchange["pending"] = new Map()
		const path = exchangePath(service)
		const stream = client.makeBidiStreamRequest<Buffer, unknown>(path, encode, decode)
		let wasConnected = false
		let isEstablished = false
		let isBroken = false
		const send = createFrameWriter<CallerFrame>(bytes => {
			if (!isBroken) stream.write(bytes)
		})
		const exchange = {send, pending, connectAnew, close: () => stream.cancel()}

		function breakOff(cause: string, wasSent: boolean) {
			clearTimeout(timer)
			isBroken = true
			if (current === exchange) current = undefined
			for (const resolve of [...pending.values()]) resolve({type: "no answer", cause, wasSent})
		}

		/** What waits for a connection has not been sent; a peer that is slow to answer may have it. */
		function connectAnew() {
			if (wasConnected || isConnected()) return
			failedAttempts++
			const pauseMs = ESTABLISH_MS * 2 ** (failedAttempts - 1)
			pauseUntil = performance.now() + Math.min(LONGEST_PAUSE_MS, pauseMs)
			breakOff(NO_CONNECTION.cause, false)
			stream.cancel()
			client.close()
			client = newClient()
		}

		const patienceMs = Math.min(LONGEST_ESTABLISH_MS, ESTABLISH_MS * 2 ** failedAttempts)
		const timer = setTimeout(connectAnew, patienceMs)
		// A connection that came and broke in between may have carried what was waiting.
		client.waitForReady(Date.now() + patienceMs, err => (wasConnected ||= !err))
		stream.on("metadata", () => {
			isEstablished = true
			failedAttempts = 0
			clearTimeout(timer)
		})
		stream.on("data", (frames: readonly AnswerFrame[]) => {
			for (const frame of frames) pending.get(frame.id)?.(replyOf(frame))
		})
		stream.on("error", (err: grpc.ServiceError) => {
			const cause = err.details || err.message
			breakOff(cause, isEstablished || !UNSENT.test(cause))
		})
		stream.on("end", () => breakOff("the stream ended", true))
		return exchange
	}

	return {
		call(method, message, timeoutMs) {
			if (!current && performance.now() < pauseUntil)
				return {reply: Promise.resolve(NO_CONNECTION), cancel: () => undefined}
			const exchange = (current ??= open())
			const id = ++serial
			let giveUp: (cause: string) => void = () => undefined
			const reply = new Promise<JsonReply>(resolve => {
				const settle = (answer: JsonReply) => {
					clearTimeout(timer)
					exchange.pending.delete(id)
					resolve(answer)
				}
				giveUp = cause => {
					if (!exchange.pending.has(id)) return
					settle({type: "no answer", cause, wasSent: true})
					exchange.send({id, cancel: true})
				}
				const timer = setTimeout(() => giveUp("no answer in time"), timeoutMs)
				exchange.pending.set(id, settle)
				exchange.send({id, method, message})
			})
			return {reply, cancel: () => giveUp("cancelled")}
		},
		noteReachable() {
			const now = performance.now()
			const wasSilent = now - heardAt >= SILENCE_MS
			heardAt = now
			if (failedAttempts === 0 || !wasSilent) return
			current?.connectAnew()
			pauseUntil = -Infinity
		},
		close() {
			current?.close()
			client.close()
		},
	}
}

function replyOf({value, error}: AnswerFrame): JsonReply {
	if (error !== undefined) return {type: "no answer", cause: error, wasSent: true}
	return {type: "answer", value}
}
