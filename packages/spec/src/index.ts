/**
 * The specifications of the core protocol, and the walk that checks them.
 */
export * from "./explore.js"
export * from "./owner-protocol.js"
export * from "./handover-protocol.js"
export * from "./config-protocol.js"
export * from "./follow-protocol.js"
export * from "./exchange-protocol.js"
export * from "./placer-protocol.js"
export * from "./keeper-protocol.js"
export * from "./succession-protocol.js"
export * from "./confirmation-state.js"
export * from "./confirmation-protocol.js"
export * from "./handed-over-protocol.js"
export * from "./slices-protocol.js"
