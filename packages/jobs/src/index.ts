/**
 * The public surface of the job fleet: jobs on leased executors, placed by the fleet's instances.
 */
export * from "./types/job.js"
export type * from "./types/kept-job.js"
export type {KeptFront} from "./keep/kept-front.js"
export type {AcceptReply} from "./keep/keeper.js"
export type * from "./types/advisor.js"
export * from "./types/executor.js"
export * from "./types/fleet-config.js"
export * from "./types/fleet.js"
export {startJobInstance} from "./instance.js"
export type {InstanceDeps, InstanceSettings, JobInstance} from "./instance.js"
export {leaseRuleFor} from "./place/lease-rule.js"
export type {LeaseRule} from "./place/lease-rule.js"
export {createEventLog, LOG_FLUSH_MS, silentLog} from "./utils/log.js"
export type {EventLog, LogFields, LogPart} from "./utils/log.js"
export {createJobMetrics} from "./utils/metrics.js"
export type {JobMetrics} from "./utils/metrics.js"
