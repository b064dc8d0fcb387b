/**
 * The gRPC service between entry instances: its definition, clients and message types.
 *
 * The message types under `generated` are generated from `proto/peer.proto` by `npm run gen`; the
 * definition is loaded from the proto file at startup.
 */
import {fileURLToPath} from "node:url"
import * as grpc from "@grpc/grpc-js"
import {loadSync} from "@grpc/proto-loader"
import type {ProtoGrpcType} from "./generated/peer.js"
import type {PeerClient} from "./generated/cottonwood/Peer.js"

export type {PeerClient, PeerHandlers} from "./generated/cottonwood/Peer.js"
export type {AttemptMessage, AttemptMessage__Output} from "./generated/cottonwood/AttemptMessage.js"
export type {ExplainReply__Output} from "./generated/cottonwood/ExplainReply.js"
export type {
	HeartbeatMessage,
	HeartbeatMessage__Output,
} from "./generated/cottonwood/HeartbeatMessage.js"
export type {OutcomeReply, OutcomeReply__Output} from "./generated/cottonwood/OutcomeReply.js"
export type {RunEvent, RunEvent__Output} from "./generated/cottonwood/RunEvent.js"
export type {SubmitRequest, SubmitRequest__Output} from "./generated/cottonwood/SubmitRequest.js"

const PROTO_FILE = fileURLToPath(new URL("../proto/peer.proto", import.meta.url))
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024
const MAX_RECONNECT_BACKOFF_MS = 1_000
const MIN_RECONNECT_BACKOFF_MS = 100

const packageDefinition = loadSync(PROTO_FILE, {longs: Number, enums: String, defaults: true})
const loaded = grpc.loadPackageDefinition(packageDefinition) as unknown as ProtoGrpcType

const CHANNEL_OPTIONS: grpc.ChannelOptions = Object.freeze({
	"grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
	"grpc.max_send_message_length": MAX_MESSAGE_BYTES,
	"grpc.initial_reconnect_backoff_ms": MIN_RECONNECT_BACKOFF_MS,
	"grpc.max_reconnect_backoff_ms": MAX_RECONNECT_BACKOFF_MS,
	// Retries are decided by the callers, in one layer only.
	"grpc.enable_retries": 0,
	"grpc.service_config_disable_resolution": 1,
})

/** The definition for `server.addService`. */
export const peerService = loaded.cottonwood.Peer.service

/**
 * Opens a client to a peer; it connects on first use.
 *
 * @example const client = connectPeer("127.0.0.1:7401")
 */
export function connectPeer(address: string): PeerClient {
	return new loaded.cottonwood.Peer(address, grpc.credentials.createInsecure(), CHANNEL_OPTIONS)
}

/** Creates a server with the same limits as the clients. */
export function createPeerServer(): grpc.Server {
	return new grpc.Server(CHANNEL_OPTIONS)
}

/** Encodes a JSON value for a bytes field. */
export function packJson(value: unknown): Buffer {
	return Buffer.from(JSON.stringify(value ?? null))
}

/** Decodes a bytes field that holds a JSON value; an empty field is null. */
export function unpackJson(bytes: Uint8Array): unknown {
	return bytes.length === 0 ? null : JSON.parse(Buffer.from(bytes).toString("utf8"))
}
