/**
 * The client side of the JSON service.
 *
 * A call is sent once the server has sent a reading of its clock on the stream. So unsent calls are
 * known as such, and sent calls state on the server's clock when they were made and last wanted.
 * Each further reading is answered with that confirmation for all pending calls.
 */
import {MAX_TIMER_MS, systemClock} from "@cottonwood/core/clock"
import * as grpc from "@grpc/grpc-js"
import {
	CHANNEL_OPTIONS,
	createFrameWriter,
	encode,
	decode,
	exchangePath,
	floorToTenth,
	forEachFrame,
	type AnswerFrame,
	type ClientFrame,
	type ServerFrame,
} from "./json-frames.js"
import {createPeerClock} from "./peer-clock.js"

/**
 * Time limit of an attempt to connect, doubled with each failure: a lost first packet is repeated
 * only after seconds, but a connection to an overloaded machine takes seconds too.
 */
const MIN_CONNECT_TIMEOUT_MS = 300
const MAX_CONNECT_TIMEOUT_MS = 4_800
/**
 * Pause after failed attempts. Each leaves a socket behind for two minutes, so a peer has less than
 * a hundred.
 */
const MAX_CONNECT_PAUSE_MS = 2_000
/** A peer that is heard after this silence was cut off, so a pending attempt is replaced. */
const CUT_OFF_MS = 600

/** The result of a call. */
export type JsonReply =
	| {readonly type: "answer"; readonly value: unknown}
	/**
	 * `wasSent` is false when the server cannot have seen the call. `wasRefused`: the connection was
	 * refused, so the process is gone. `lastConfirmedAt`: the latest time as of which the server was
	 * told that the call is wanted, in milliseconds on the monotonic clock of this process.
	 */
	| {
			readonly type: "no answer"
			readonly cause: string
			readonly wasSent: boolean
			readonly wasRefused: boolean
			readonly lastConfirmedAt: number
	  }

/** The reply while the client pauses after a failed attempt to connect. */
const NO_CONNECTION = Object.freeze({
	type: "no answer",
	cause: "no connection in time",
	wasSent: false,
	wasRefused: false,
	lastConfirmedAt: -Infinity,
}) satisfies JsonReply

export interface JsonCall {
	readonly reply: Promise<JsonReply>
	cancel(): void
}

export interface JsonClient {
	/**
	 * Calls a method. `confirmedAt` returns as of when the call is known to be wanted, in
	 * milliseconds on the monotonic clock of this process; without it, until the call is cancelled.
	 */
	call(method: string, message: unknown, timeoutMs: number, confirmedAt?: () => number): JsonCall
	/**
	 * How long nothing was received while calls were pending, in milliseconds; 0 while none is. The
	 * server sends a reading every 100 ms.
	 */
	unansweredMs(): number
	/** Notes that the peer was heard by other means; replaces a stuck attempt to connect. */
	noteReachable(): void
	close(): void
}

/** A pending call. */
interface PendingCall {
	readonly id: number
	readonly method: string
	readonly message: unknown
	readonly madeAt: number
	readonly confirmedAt: () => number
	readonly settle: (reply: JsonReply) => void
	/** Milliseconds on the monotonic clock; undefined until the call was sent. */
	sentAt: number | undefined
	/** The latest time as of which the server was told that the call is wanted. */
	lastConfirmedAt: number
}

/** One stream and its pending calls. */
interface Exchange {
	readonly begin: (call: PendingCall) => void
	readonly cancel: (call: PendingCall, cause: string) => void
	readonly unansweredMs: () => number
	/** Starts another attempt to connect, unless the stream is connected. */
	readonly reconnect: () => void
	readonly close: () => void
}

/** Part of the error text of grpc-js for a refused connection. */
const CONNECTION_REFUSED = "ECONNREFUSED"

/** Due timers run before I/O, so a delayed process reads pending answers before it times out. */
const afterPendingReads = (callback: () => void) => setImmediate(() => setImmediate(callback))

const wantedUntilCancelled = () => Infinity

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

	function openExchange(): Exchange {
		const pending = new Map<number, PendingCall>()
		const peerClock = createPeerClock()
		const path = exchangePath(service)
		const stream = client.makeBidiStreamRequest<Buffer, unknown>(path, encode, decode)
		let wasConnected = false
		let isBroken = false
		let isConfirmationDue = false
		let readAt = -Infinity
		const send = createFrameWriter<ClientFrame>(bytes => {
			if (!isBroken) stream.write(bytes)
		})
		const close = () => stream.cancel()
		const exchange: Exchange = {begin, cancel, reconnect, unansweredMs, close}

		function fail(cause: string) {
			clearTimeout(timer)
			isBroken = true
			const wasRefused = cause.includes(CONNECTION_REFUSED)
			if (current === exchange) current = undefined
			for (const {settle, sentAt, lastConfirmedAt} of [...pending.values()])
				settle({
					type: "no answer",
					cause,
					wasSent: sentAt !== undefined,
					wasRefused,
					lastConfirmedAt,
				})
			pending.clear()
		}

		/** Fails the pending calls, which were not sent; a connected server may be slow. */
		function reconnect() {
			if (wasConnected || isConnected()) return
			failedAttempts++
			const pauseMs = MIN_CONNECT_TIMEOUT_MS * 2 ** (failedAttempts - 1)
			pauseUntil = systemClock.now() + Math.min(MAX_CONNECT_PAUSE_MS, pauseMs)
			fail(NO_CONNECTION.cause)
			stream.cancel()
			client.close()
			client = newClient()
		}

		/** Returns, on the server's clock, as of when the call is wanted, to be sent now. */
		function confirm(call: PendingCall): number {
			const confirmedAt = Math.min(systemClock.now(), call.confirmedAt())
			call.lastConfirmedAt = Math.max(call.lastConfirmedAt, confirmedAt)
			return floorToTenth(peerClock.toPeer(confirmedAt))
		}

		function begin(call: PendingCall) {
			pending.set(call.id, call)
			if (peerClock.isKnown()) sendCall(call)
		}

		function sendCall(call: PendingCall) {
			const {id, method, message} = call
			call.sentAt = systemClock.now()
			const madeAt = floorToTenth(peerClock.toPeer(call.madeAt))
			send({id, method, message, madeAt, confirmedAt: confirm(call)})
		}

		function cancel(call: PendingCall, cause: string) {
			if (!pending.delete(call.id)) return
			const {sentAt, lastConfirmedAt} = call
			const wasSent = sentAt !== undefined
			call.settle({type: "no answer", cause, wasSent, wasRefused: false, lastConfirmedAt})
			if (wasSent) send({id: call.id, cancel: true})
		}

		/** Calls are sent in order, so the first pending one has waited longest. */
		function unansweredMs(): number {
			const [oldest] = pending.values()
			if (oldest?.sentAt === undefined) return 0
			return systemClock.now() - Math.max(readAt, oldest.sentAt)
		}

		/** One frame confirms all calls, since most have the same time. */
		function sendConfirmation() {
			if (pending.size === 0 || isBroken) return
			const times = [...pending.values()].map(call => [call.id, confirm(call)] as const)
			const confirmedAt = Math.max(...times.map(([, at]) => at))
			send({confirmedAt, older: times.filter(([, at]) => at < confirmedAt)})
		}

		function handleReading(reading: number) {
			const isFirst = !peerClock.isKnown()
			peerClock.observe(reading, systemClock.now())
			if (isFirst) return handleConnected()
			if (isConfirmationDue) return
			isConfirmationDue = true
			// After a stall several readings arrive in one turn; one confirmation answers all.
			setImmediate(() => {
				isConfirmationDue = false
				sendConfirmation()
			})
		}

		function handleConnected() {
			failedAttempts = 0
			clearTimeout(timer)
			for (const call of pending.values()) sendCall(call)
		}

		function handleAnswer(frame: AnswerFrame) {
			const call = pending.get(frame.id)
			pending.delete(frame.id)
			call?.settle(toReply(frame, call.lastConfirmedAt))
		}

		function handleFrame(frame: ServerFrame) {
			if ("pulse" in frame) handleReading(frame.pulse)
			else handleAnswer(frame)
		}

		const connectTimeoutMs = Math.min(
			MAX_CONNECT_TIMEOUT_MS,
			MIN_CONNECT_TIMEOUT_MS * 2 ** failedAttempts,
		)
		const timer = setTimeout(reconnect, connectTimeoutMs)
		client.waitForReady(Date.now() + connectTimeoutMs, err => (wasConnected ||= !err))
		stream.on("data", (frames: unknown) => {
			readAt = systemClock.now()
			// A lost answer ends its call in time.
			forEachFrame<ServerFrame>(frames, handleFrame, () => undefined)
		})
		stream.on("error", (err: grpc.ServiceError) => fail(err.details || err.message))
		stream.on("end", () => fail("the stream ended"))
		return exchange
	}

	return {
		call(method, message, timeoutMs, confirmedAt = wantedUntilCancelled) {
			if (!current && systemClock.now() < pauseUntil)
				return {reply: Promise.resolve(NO_CONNECTION), cancel: () => undefined}
			const exchange = (current ??= openExchange())
			let giveUp: (cause: string) => void = () => undefined
			const reply = new Promise<JsonReply>(resolve => {
				const settle = (answer: JsonReply) => {
					clearTimeout(timer)
					resolve(answer)
				}
				const id = ++serial
				const madeAt = systemClock.now()
				const unsent = {sentAt: undefined, lastConfirmedAt: -Infinity}
				const call: PendingCall = {id, method, message, madeAt, confirmedAt, settle, ...unsent}
				giveUp = cause => exchange.cancel(call, cause)
				const timer = setTimeout(
					() => afterPendingReads(() => giveUp("no answer in time")),
					Math.min(timeoutMs, MAX_TIMER_MS),
				)
				exchange.begin(call)
			})
			return {reply, cancel: () => giveUp("cancelled")}
		},
		unansweredMs: () => current?.unansweredMs() ?? 0,
		noteReachable() {
			const now = systemClock.now()
			const wasSilent = now - heardAt >= CUT_OFF_MS
			heardAt = now
			if (failedAttempts === 0 || !wasSilent) return
			current?.reconnect()
			pauseUntil = -Infinity
		},
		close() {
			current?.close()
			client.close()
		},
	}
}

function toReply({value, error}: AnswerFrame, lastConfirmedAt: number): JsonReply {
	if (error !== undefined)
		return {
			type: "no answer",
			cause: error,
			wasSent: true,
			wasRefused: false,
			lastConfirmedAt,
		}
	return {type: "answer", value}
}
