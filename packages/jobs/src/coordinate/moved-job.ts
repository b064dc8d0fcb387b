/**
 * Follows a job that placers send elsewhere, at the instance that its caller reached: where it goes next, and where it
 * has been. Only a placer's word that nothing of it has started moves it; after silence it goes nowhere.
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
	/** The job as the next placer is to have it. */
	withDomainsTried(): Job
	/** The placer that the job was sent to; undefined: whoever suits it. */
	next(): Claim | undefined
	/** Takes a placer's word that the job should go elsewhere; false when it says nothing that can be followed. */
	accept(from: Claim, move: JobMove): boolean
	/** What the placer that was asked last answered. */
	noteOutcome(claim: Claim, outcome: string): void
}

interface Move extends JobMove {
	readonly from: Claim
	readonly at: number
}

const isFigure = (value: unknown) => typeof value === "number" && value >= 0

/** A peer's word may be broken, or older than what is known here. */
function isMove({claim, hereMs, thereMs, newsAgeMs}: JobMove): boolean {
	return isClaim(claim) && [hereMs, thereMs, newsAgeMs].every(isFigure)
}

/** Where a job has been by a peer's word; undefined, so that it stays, when that cannot be read. */
export function beenOf(value: unknown, {metrics}: Pick<MovedJobDeps, "metrics">) {
	if (value === undefined) return undefined
	if (Array.isArray(value) && value.every(name => typeof name === "string"))
		return value as readonly string[]
	metrics.count("broken_assumptions", "job_been")
	return undefined
}

export function followMoves({clock, log, metrics}: MovedJobDeps, job: Job): MovedJob {
	/** Failure domains whose placers had it, or could not be reached. */
	const been: string[] = []
	let move: Move | undefined
	let goesTo: Claim | undefined

	/** It never got there: whoever sent it has it again, and sends it there no more. */
	function goBack({from, claim}: Move) {
		been.splice(been.indexOf(from.failureDomain), 1, claim.failureDomain)
		goesTo = from
	}

	return {
		withDomainsTried: () => ({...job, been: [...been]}),
		next() {
			const claim = goesTo
			goesTo = undefined
			return claim
		},
		accept(from, told) {
			const isNew = isMove(told) && !been.includes(told.claim.failureDomain)
			const isOther = isNew && told.claim.failureDomain !== from.failureDomain
			if (!isOther || been.length >= MAX_MOVES) {
				metrics.count("broken_assumptions", "job_move")
				return false
			}
			been.push(from.failureDomain)
			move = {...told, from, at: clock.now()}
			goesTo = told.claim
			return true
		},
		noteOutcome(claim, outcome) {
			if (move?.claim.failureDomain !== claim.failureDomain) return
			const {from, hereMs, thereMs, newsAgeMs, at} = move
			metrics.count("whole_jobs_moved", outcome)
			log.event("job", "whole_job_moved", "job: another domain's placer had it as a whole.", {
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
			if (outcome === "unsent" || outcome === "not placer") goBack(move)
			move = undefined
		},
	}
}
