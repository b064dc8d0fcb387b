/**
 * The public API of the job fleet: instances that place jobs on leased executors.
 */
export * from "./types/job.js"
export type * from "./types/kept-job.js"
export type {KeptJobRouter as KeptFront} from "./keep/kept-job-router.js"
export type {AcceptReply} from "./keep/keeper.js"
export type * from "./types/advisor.js"
export * from "./types/executor.js"
export * from "./types/fleet-config.js"
export * from "./types/fleet.js"
export * from "./types/placing.js"
export type {PortRange} from "./fleet/peer-port.js"
export {startJobInstance} from "./instance.js"
export type {InstanceDeps, InstanceSettings, JobInstance} from "./instance.js"
export {answerUsefulMs} from "./coordinate/job-run.js"
export {createSharedCaller} from "./coordinate/shared-caller.js"
export type {SharedCaller} from "./coordinate/shared-caller.js"
export {isRetryAfter} from "./decide/admission.js"
export {leaseRuleFor} from "./decide/lease-rule.js"
export type {LeaseRule} from "./decide/lease-rule.js"
export {BoundedOutput, createEventLog, LOG_FLUSH_MS, silentLog} from "./utils/log.js"
export type {EventLog, LazyFields, LogFields, LogPart} from "./utils/log.js"
export {
	causeOf,
	EXIT_ASKED,
	EXIT_FAILED,
	EXIT_INVALID_SETTINGS,
	reportEnd,
} from "./utils/process-end.js"
export type {ProcessEnd, ProcessObservers} from "./utils/process-end.js"
export {openOnceFree} from "./utils/taken-port.js"
export type {PortOpening} from "./utils/taken-port.js"
export {createJobMetrics} from "./utils/metrics.js"
export type {JobMetrics} from "./utils/metrics.js"
