/**
 * What goes over the stream between two instances, and the options of its connections.
 */
import type * as grpc from "@grpc/grpc-js"

const MAX_MESSAGE_BYTES = 4 * 1024 * 1024
/** Frames are sent together up to this; a quarter of the longest message, since a character may take four bytes. */
const BATCH_CHARS = MAX_MESSAGE_BYTES / 4
const MIN_RECONNECT_BACKOFF_MS = 50
const MAX_RECONNECT_BACKOFF_MS = 400
/** A peer that is cut off is noticed after this and the time-out; see docs/PLATFORM.md. */
const KEEPALIVE_MS = 300
const KEEPALIVE_TIMEOUT_MS = 300

export const CHANNEL_OPTIONS: grpc.ChannelOptions = Object.freeze({
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
export const encode = (bytes: Buffer) => bytes
export const decode = (bytes: Buffer): unknown => JSON.parse(bytes.toString("utf8"))

export const exchangePath = (service: string) => `/${service}/exchange`

/** Hands work over. */
export interface CallFrame {
	readonly id: number
	readonly method: string
	readonly message: unknown
	/** On the reader's clock, in milliseconds: the call was not made before it. */
	readonly madeAt: number
	/** On the reader's clock, in milliseconds: the caller still wanted the call then. */
	readonly confirmedAt: number
}

/** Nobody waits for the answer any more. */
export interface CancelFrame {
	readonly id: number
	readonly cancel: true
}

/** The caller still wants each call that it has made on the stream and not cancelled. */
export interface ConfirmFrame {
	/** On the reader's clock, in milliseconds: as of then. */
	readonly confirmedAt: number
	/** Calls of which the caller knows that only as of an earlier time. */
	readonly older: readonly (readonly [id: number, confirmedAt: number])[]
}

/** What the side that calls sends. */
export type CallerFrame = CallFrame | CancelFrame | ConfirmFrame

/** Ends a call; without a value it could not tell one. */
export interface AnswerFrame {
	readonly id: number
	readonly value?: unknown
	readonly error?: string
}

/** A reading of the steady clock of the side that is called, in milliseconds. */
export interface PulseFrame {
	readonly pulse: number
}

/** What the side that is called sends. */
export type ServerFrame = AnswerFrame | PulseFrame

/** Times go with a tenth of a millisecond, rounded down: never later than what was meant. */
export const roundedDown = (ms: number) => Math.floor(ms * 10) / 10

/** Sends the frames of one turn of the loop as one message, or as several when they are long. */
export function createFrameWriter<T>(write: (bytes: Buffer) => void) {
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
