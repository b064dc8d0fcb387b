/**
 * Services between instances with JSON messages, for frequent small calls that should be readable
 * in a network capture.
 *
 * All calls to another instance share one gRPC stream, and the frames of one turn of the event loop
 * go as one message. When the stream breaks, its pending calls end on both sides.
 */
export {listenJson} from "./json-server.js"
export type {JsonCaller, JsonHandler, JsonServer} from "./json-server.js"
export {connectJson} from "./json-client.js"
export type {JsonCall, JsonClient, JsonReply} from "./json-client.js"
