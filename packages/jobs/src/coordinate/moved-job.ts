/**
 * Tracks a job that placers move to other failure domains: the next placer to ask, and the domains tried. Used by the
 * dispatcher.
 *
 * A job moves only on a placer's answer that nothing of it has started, never after silence.
 */
import type {Clock} from "@cottonwood/core"
import {MAX_MOVES} from "../decide/domain-choice.js"
import {isClaim} from "../fleet/members.js"
import type {JobMove} from "../fleet/peers.js"
import type {Claim} from "../types/fleet.js"
import type {Job} from "../types/job.js"
import {shortSession, type EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"

export interface MovedJobDeps {
	readonly clock: Clock
	readonly log: EventLog
	readonly metrics: JobMetrics
}

export interface MovedJob {
	/** The job with the failure domains tried so far. */
	withDomainsTried(): Job
	/** The placer that the job should go to; undefined when any will do. Cleared by the call. */
	next(): Claim | undefined
	/** Accepts a placer's answer that the job should move. False when the answer is invalid. */
	accept(from: Claim, move: JobMove): boolean
	/** Records how the placer asked last answered, and sends the job back when it never got there. */
	noteOutcome(claim: Claim, outcome: string): void
}

interface Move extends JobMove {
	readonly from: Claim
	readonly at: number
}

const isNonNegative = (value: unknown) => typeof value === "number" && value >= 0

/** Checks an answer from another instance, which may be malformed. */
function isMove({claim, hereMs, thereMs, newsAgeMs}: JobMove): boolean {
	return isClaim(claim) && [hereMs, thereMs, newsAgeMs].every(isNonNegative)
}

/** The failure domains tried according to a peer. Undefined, so that the job stays, when that is malformed. */
export function parseDomainsTried(value: unknown, {metrics}: Pick<MovedJobDeps, "metrics">) {
	if (value === undefined) return undefined
	if (Array.isArray(value) && value.every(name => typeof name === "string"))
		return value as readonly string[]
	metrics.count("broken_assumptions", "job_been")
	return undefined
}

export function followMoves({clock, log, metrics}: MovedJobDeps, job: Job): MovedJob {
	/** Failure domains whose placers had the job or could not be reached. */
	const domainsTried: string[] = []
	let move: Move | undefined
	let target: Claim | undefined

	/** Sends the job back to the placer that moved it, and excludes the unreached target. */
	function sendBack({from, claim}: Move) {
		domainsTried.splice(domainsTried.indexOf(from.failureDomain), 1, claim.failureDomain)
		target = from
	}

	return {
		withDomainsTried: () => ({...job, been: [...domainsTried]}),
		next() {
			const claim = target
			target = undefined
			return claim
		},
		accept(from, told) {
			const isNew = isMove(told) && !domainsTried.includes(told.claim.failureDomain)
			const isOther = isNew && told.claim.failureDomain !== from.failureDomain
			if (!isOther || domainsTried.length >= MAX_MOVES) {
				metrics.count("broken_assumptions", "job_move")
				return false
			}
			domainsTried.push(from.failureDomain)
			move = {...told, from, at: clock.now()}
			target = told.claim
			return true
		},
		noteOutcome(claim, outcome) {
			if (move?.claim.failureDomain !== claim.failureDomain) return
			const {from, hereMs, thereMs, newsAgeMs, at} = move
			metrics.count("whole_jobs_moved", outcome)
			log.event("job", "whole_job_moved", "job: moved to another failure domain's placer.", {
				job: job.id,
				peer: claim.placer.name,
				session: shortSession(claim.placer.session),
				failureDomain: claim.failureDomain,
				fence: claim.fence,
				cause: `sent on by ${from.placer.name}, which places ${from.failureDomain}`,
				hereMs,
				thereMs,
				inputAgeMs: newsAgeMs,
				outcome,
				tookMs: Math.round(clock.now() - at),
			})
			if (outcome === "unsent" || outcome === "not placer") sendBack(move)
			move = undefined
		},
	}
}
