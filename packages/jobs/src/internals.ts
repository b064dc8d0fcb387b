/**
 * Parts that the package's own tests reach; not for users of the package.
 */
export * from "./coordinate/handover.js"
export type * from "./coordinate/hosts.js"
export * from "./coordinate/job-run.js"
export * from "./coordinate/overflow.js"
export * from "./fleet/claims.js"
export * from "./fleet/follow.js"
export * from "./fleet/members.js"
export type * from "./fleet/peers.js"
export * from "./place/executor-clock.js"
export * from "./place/executor-list.js"
export * from "./place/placer.js"
export * from "./place/run.js"
export * from "./place/task-queue.js"
export {BoundedOutput} from "./utils/log.js"
