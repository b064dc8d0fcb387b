/**
 * The side of a stream that calls.
 *
 * A call is sent only on a stream on which the peer has told its clock. So what was never sent is known as such, and
 * what was sent says on the peer's own clock when it was made, and as of when it was still wanted. Each reading of the
 * peer's clock is answered with that for all calls under way.
 */
import {systemClock} from "@cottonwood/core/clock"
import * as grpc from "@grpc/grpc-js"
import {
	CHANNEL_OPTIONS,
	createFrameWriter,
	encode,
	decode,
	exchangePath,
	roundedDown,
	type AnswerFrame,
	type CallerFrame,
	type ServerFrame,
} from "./json-frames.js"
import {createPeerClock} from "./peer-clock.js"

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

/** What became of a call: an answer, or nothing that can be told. */
export type JsonReply =
	| {readonly type: "answer"; readonly value: unknown}
	/**
	 * `wasSent` is false when the call was never sent, so the peer cannot have seen it. `wasRefused`: the machine has
	 * answered that nothing listens there, so the process is gone; a busy one is merely not reached in time. `wantedAt`: the
	 * peer was told of no later time as of which the call was wanted, in steady milliseconds of this process.
	 */
	| {
			readonly type: "no answer"
			readonly cause: string
			readonly wasSent: boolean
			readonly wasRefused: boolean
			readonly lastConfirmedAt: number
	  }

/** There is none, and an attempt has got nowhere a short while ago. */
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
	 * Calls a method; `confirmedAt` tells as of when the call is wanted, in steady milliseconds of this process. Without
	 * it a call is wanted until it is cancelled.
	 */
	call(method: string, message: unknown, timeoutMs: number, confirmedAt?: () => number): JsonCall
	/**
	 * For how long nothing was read of the peer while calls to it were under way, in milliseconds; 0 while none is. A peer that
	 * has read a call sends a reading each 100 ms.
	 */
	quietMs(): number
	/** The peer was heard by other means: an attempt to connect that is under way in vain is replaced. */
	noteReachable(): void
	close(): void
}

/** A call under way. */
interface Pending {
	readonly id: number
	readonly method: string
	readonly message: unknown
	readonly madeAt: number
	readonly confirmedAt: () => number
	readonly settle: (reply: JsonReply) => void
	/** Steady milliseconds; undefined until it was sent. */
	sentAt: number | undefined
	/** The latest time as of which the peer was told that it is wanted. */
	wantedAt: number
}

/** Calls under way on one stream, and the stream. */
interface Exchange {
	readonly begin: (call: Pending) => void
	readonly cancel: (call: Pending, cause: string) => void
	readonly quietMs: () => number
	/** Begins another attempt, unless there is a connection. */
	readonly connectAnew: () => void
	readonly close: () => void
}

/** In the library's text for an attempt to connect that was answered by a reset. */
const REFUSED = "ECONNREFUSED"

/** Timers that are due run before what lies in the connections is read: a late process reads it first, and judges then. */
const afterReading = (callback: () => void) => setImmediate(() => setImmediate(callback))

const isWantedNow = () => Infinity

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
		const pending = new Map<number, Pending>()
		const peerClock = createPeerClock()
		const path = exchangePath(service)
		const stream = client.makeBidiStreamRequest<Buffer, unknown>(path, encode, decode)
		let wasConnected = false
		let isBroken = false
		let isConfirmDue = false
		let readAt = -Infinity
		const send = createFrameWriter<CallerFrame>(bytes => {
			if (!isBroken) stream.write(bytes)
		})
		const close = () => stream.cancel()
		const exchange: Exchange = {begin, cancel, connectAnew, quietMs, close}

		function breakOff(cause: string) {
			clearTimeout(timer)
			isBroken = true
			const wasRefused = cause.includes(REFUSED)
			if (current === exchange) current = undefined
			for (const {settle, sentAt, wantedAt} of [...pending.values()])
				settle({
					type: "no answer",
					cause,
					wasSent: sentAt !== undefined,
					wasRefused,
					lastConfirmedAt: wantedAt,
				})
			pending.clear()
		}

		/** What waits for a connection has not been sent; a peer that is slow to answer is waited for. */
		function connectAnew() {
			if (wasConnected || isConnected()) return
			failedAttempts++
			const pauseMs = ESTABLISH_MS * 2 ** (failedAttempts - 1)
			pauseUntil = systemClock.now() + Math.min(LONGEST_PAUSE_MS, pauseMs)
			breakOff(NO_CONNECTION.cause)
			stream.cancel()
			client.close()
			client = newClient()
		}

		/** As of when a call is wanted, on the peer's clock, which is told to it now. */
		function confirmedAtOf(call: Pending): number {
			const wantedAt = Math.min(systemClock.now(), call.confirmedAt())
			call.wantedAt = Math.max(call.wantedAt, wantedAt)
			return roundedDown(peerClock.toPeer(wantedAt))
		}

		function begin(call: Pending) {
			pending.set(call.id, call)
			if (peerClock.isKnown()) sendCall(call)
		}

		function sendCall(call: Pending) {
			const {id, method, message} = call
			call.sentAt = systemClock.now()
			const madeAt = roundedDown(peerClock.toPeer(call.madeAt))
			send({id, method, message, madeAt, confirmedAt: confirmedAtOf(call)})
		}

		function cancel(call: Pending, cause: string) {
			if (!pending.delete(call.id)) return
			const {sentAt, wantedAt} = call
			const wasSent = sentAt !== undefined
			call.settle({type: "no answer", cause, wasSent, wasRefused: false, lastConfirmedAt: wantedAt})
			if (wasSent) send({id: call.id, cancel: true})
		}

		/** Calls are sent in order, so the first that is under way has waited longest. */
		function quietMs(): number {
			const [oldest] = pending.values()
			if (oldest?.sentAt === undefined) return 0
			return systemClock.now() - Math.max(readAt, oldest.sentAt)
		}

		/** One frame tells of all calls: most are wanted as of the same time. */
		function sendConfirmation() {
			if (pending.size === 0 || isBroken) return
			const times = [...pending.values()].map(call => [call.id, confirmedAtOf(call)] as const)
			const confirmedAt = Math.max(...times.map(([, at]) => at))
			send({confirmedAt, older: times.filter(([, at]) => at < confirmedAt)})
		}

		function takePulse(reading: number) {
			const isFirst = !peerClock.isKnown()
			peerClock.observe(reading, systemClock.now())
			if (isFirst) return begun()
			if (isConfirmDue) return
			isConfirmDue = true
			// After a standstill many readings are read in one turn; one answer serves all.
			setImmediate(() => {
				isConfirmDue = false
				sendConfirmation()
			})
		}

		function begun() {
			failedAttempts = 0
			clearTimeout(timer)
			for (const call of pending.values()) sendCall(call)
		}

		function takeAnswer(frame: AnswerFrame) {
			const call = pending.get(frame.id)
			pending.delete(frame.id)
			call?.settle(replyOf(frame, call.wantedAt))
		}

		function take(frame: ServerFrame) {
			if ("pulse" in frame) takePulse(frame.pulse)
			else takeAnswer(frame)
		}

		const patienceMs = Math.min(LONGEST_ESTABLISH_MS, ESTABLISH_MS * 2 ** failedAttempts)
		const timer = setTimeout(connectAnew, patienceMs)
		client.waitForReady(Date.now() + patienceMs, err => (wasConnected ||= !err))
		stream.on("data", (frames: readonly ServerFrame[]) => {
			readAt = systemClock.now()
			frames.forEach(take)
		})
		stream.on("error", (err: grpc.ServiceError) => breakOff(err.details || err.message))
		stream.on("end", () => breakOff("the stream ended"))
		return exchange
	}

	return {
		call(method, message, timeoutMs, confirmedAt = isWantedNow) {
			if (!current && systemClock.now() < pauseUntil)
				return {reply: Promise.resolve(NO_CONNECTION), cancel: () => undefined}
			const exchange = (current ??= open())
			let giveUp: (cause: string) => void = () => undefined
			const reply = new Promise<JsonReply>(resolve => {
				const settle = (answer: JsonReply) => {
					clearTimeout(timer)
					resolve(answer)
				}
				const id = ++serial
				const madeAt = systemClock.now()
				const unsent = {sentAt: undefined, wantedAt: -Infinity}
				const call: Pending = {id, method, message, madeAt, confirmedAt, settle, ...unsent}
				giveUp = cause => exchange.cancel(call, cause)
				const timer = setTimeout(() => afterReading(() => giveUp("no answer in time")), timeoutMs)
				exchange.begin(call)
			})
			return {reply, cancel: () => giveUp("cancelled")}
		},
		quietMs: () => current?.quietMs() ?? 0,
		noteReachable() {
			const now = systemClock.now()
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

function replyOf({value, error}: AnswerFrame, wantedAt: number): JsonReply {
	if (error !== undefined)
		return {
			type: "no answer",
			cause: error,
			wasSent: true,
			wasRefused: false,
			lastConfirmedAt: wantedAt,
		}
	return {type: "answer", value}
}
