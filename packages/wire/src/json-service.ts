/**
 * gRPC services whose messages are JSON: for calls that are frequent and small, where a text that can
 * be read in a capture is worth more than a few bytes.
 */
import * as grpc from "@grpc/grpc-js"

const MAX_MESSAGE_BYTES = 4 * 1024 * 1024
const MIN_RECONNECT_BACKOFF_MS = 50
const MAX_RECONNECT_BACKOFF_MS = 400
/** A peer that is cut off is noticed after this and the time-out; see docs/PLATFORM.md. */
const KEEPALIVE_MS = 300
const KEEPALIVE_TIMEOUT_MS = 300

const CHANNEL_OPTIONS: grpc.ChannelOptions = Object.freeze({
	"grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
	"grpc.max_send_message_length": MAX_MESSAGE_BYTES,
	"grpc.initial_reconnect_backoff_ms": MIN_RECONNECT_BACKOFF_MS,
	"grpc.min_reconnect_backoff_ms": MIN_RECONNECT_BACKOFF_MS,
	"grpc.max_reconnect_backoff_ms": MAX_RECONNECT_BACKOFF_MS,
	"grpc.keepalive_time_ms": KEEPALIVE_MS,
	"grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
	"grpc.keepalive_permit_without_calls": 1,
	// Retries are decided by the product, in one layer only.
	"grpc.enable_retries": 0,
	"grpc.service_config_disable_resolution": 1,
})

const encode = (value: unknown) => Buffer.from(JSON.stringify(value))
const decode = (bytes: Buffer): unknown => JSON.parse(bytes.toString("utf8"))

function methodOf(service: string, name: string): grpc.MethodDefinition<unknown, unknown> {
	return {
		path: `/${service}/${name}`,
		requestStream: false,
		responseStream: false,
		requestSerialize: encode,
		requestDeserialize: decode,
		responseSerialize: encode,
		responseDeserialize: decode,
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
	const definition: Record<string, grpc.MethodDefinition<unknown, unknown>> = {}
	const implementation: grpc.UntypedServiceImplementation = {}
	for (const [name, handler] of Object.entries(handlers)) {
		definition[name] = methodOf(service, name)
		implementation[name] = unaryOf(handler)
	}
	server.addService(definition, implementation)
	return new Promise((resolve, reject) => {
		server.bindAsync(address, grpc.ServerCredentials.createInsecure(), err => {
			if (err) reject(err)
			else resolve({close: () => server.forceShutdown()})
		})
	})
}

function unaryOf(handler: JsonHandler): grpc.handleUnaryCall<unknown, unknown> {
	return (call, callback) => {
		const onCancel = (listener: () => void) => {
			// A call that was read together with its cancelling tells of it only here.
			if (call.cancelled) listener()
			else call.on("cancelled", listener)
		}
		handler(call.request, {onCancel}).then(
			value => callback(null, value),
			(err: Error) => callback({code: grpc.status.INTERNAL, message: err.message}),
		)
	}
}

/** What became of a call: an answer, or nothing that can be told. */
export type JsonReply =
	| {readonly type: "answer"; readonly value: unknown}
	/** `wasSent` is false when there never was a connection, so the peer cannot have seen the call. */
	| {readonly type: "no answer"; readonly cause: string; readonly wasSent: boolean}

/** How the library words the failure of a call for which it got no connection. */
const UNSENT = /^No connection established/

function noAnswer(cause: string): JsonReply {
	return {type: "no answer", cause, wasSent: !UNSENT.test(cause)}
}

export interface JsonCall {
	readonly reply: Promise<JsonReply>
	cancel(): void
}

export interface JsonClient {
	call(method: string, message: unknown, timeoutMs: number): JsonCall
	close(): void
}

/** Opens a client to an address; it connects on first use. */
export function connectJson(service: string, address: string): JsonClient {
	const client = new grpc.Client(address, grpc.credentials.createInsecure(), CHANNEL_OPTIONS)
	return {
		call(method, message, timeoutMs) {
			let cancel = () => undefined as void
			const reply = new Promise<JsonReply>(resolve => {
				const call = client.makeUnaryRequest(
					`/${service}/${method}`,
					encode,
					decode,
					message,
					new grpc.Metadata(),
					{deadline: Date.now() + timeoutMs},
					(err, value) =>
						resolve(err ? noAnswer(err.details || err.message) : {type: "answer", value}),
				)
				cancel = () => call.cancel()
			})
			return {reply, cancel: () => cancel()}
		},
		close: () => client.close(),
	}
}
