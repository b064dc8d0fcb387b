/**
 * Services between instances whose messages are JSON: for calls that are frequent and small, where a text that
 * can be read in a capture is worth more than a few bytes.
 *
 * All calls from one instance to another share one gRPC stream, and what is sent in one turn of the loop goes
 * as one message: a call of its own for each costs headers, trailers and a dozen objects on both sides.
 * When the stream breaks, every call under way on it is over, for both sides.
 */
export {listenJson} from "./json-server.js"
export type {JsonCaller, JsonHandler, JsonServer} from "./json-server.js"
export {connectJson} from "./json-client.js"
export type {JsonCall, JsonClient, JsonReply} from "./json-client.js"
