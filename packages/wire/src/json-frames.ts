/**
 * The frames of the stream between two instances, and the options of its connections.
 */
import type * as grpc from "@grpc/grpc-js"

const MAX_MESSAGE_BYTES = 4 * 1024 * 1024
/** A quarter of the message limit, since a character may take four bytes. */
const MAX_BATCH_CHARS = MAX_MESSAGE_BYTES / 4
const MIN_RECONNECT_BACKOFF_MS = 50
const MAX_RECONNECT_BACKOFF_MS = 400
/** A disconnected peer is detected after this time plus the timeout. */
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
	// Closing a client also ends its attempt to connect.
	"grpc.use_local_subchannel_pool": 1,
	// Retries are decided by the callers, in one layer only.
	"grpc.enable_retries": 0,
	"grpc.service_config_disable_resolution": 1,
})

/** Frames are serialized before they are written. */
export const encode = (bytes: Buffer) => bytes
/** A message of null would end the stream that carries it, so it becomes another one of unexpected shape. */
export const decode = (bytes: Buffer): unknown => JSON.parse(bytes.toString("utf8")) ?? {}

export const exchangePath = (service: string) => `/${service}/exchange`

/** Makes a call. */
export interface CallFrame {
	readonly id: number
	readonly method: string
	readonly message: unknown
	/** Milliseconds on the receiver's clock: the call was not made before then. */
	readonly madeAt: number
	/** Milliseconds on the receiver's clock: the caller still wanted the call then. */
	readonly confirmedAt: number
}

/** Cancels a call. */
export interface CancelFrame {
	readonly id: number
	readonly cancel: true
}

/** Confirms that all calls which were not cancelled are still wanted. */
export interface ConfirmFrame {
	/** Milliseconds on the receiver's clock. */
	readonly confirmedAt: number
	/** Calls for which only an earlier time can be confirmed. */
	readonly older: readonly (readonly [id: number, confirmedAt: number])[]
}

/** A frame sent by the client. */
export type ClientFrame = CallFrame | CancelFrame | ConfirmFrame

/** Ends a call; it failed when `error` is present. */
export interface AnswerFrame {
	readonly id: number
	readonly value?: unknown
	readonly error?: string
}

/** A reading of the server's monotonic clock, in milliseconds. */
export interface ClockFrame {
	readonly pulse: number
}

/** A frame sent by the server. */
export type ServerFrame = AnswerFrame | ClockFrame

/** Rounds down to a tenth of a millisecond, so that a time is never later than the exact one. */
export const floorToTenth = (ms: number) => Math.floor(ms * 10) / 10

/** The text of whatever was thrown. */
export const messageOf = (error: unknown) =>
	error instanceof Error ? error.message : String(error)

/** Handles each frame of a message; one of unexpected shape is reported, and the others are handled. */
export function forEachFrame<T extends object>(
	frames: unknown,
	handle: (frame: T) => void,
	onBadFrame: (error: Error) => void,
) {
	if (!Array.isArray(frames)) return onBadFrame(new Error("a message that is no list of frames"))
	for (const frame of frames) {
		try {
			handle(frame as T)
		} catch (error) {
			onBadFrame(error as Error)
		}
	}
}

/**
 * Sends the frames of one turn of the event loop as one message, or as several if they are long.
 */
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
		if (size + text.length > MAX_BATCH_CHARS) flush()
		if (texts.length === 0) setImmediate(flush)
		texts.push(text)
		size += text.length
	}
}
