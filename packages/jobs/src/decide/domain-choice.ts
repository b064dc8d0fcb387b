/**
 * Chooses the failure domain for a job that finds no room in its own: the one where it is forecast to start sooner.
 *
 * Reports are up to half a second old and go to all domains. To avoid a herd, reported room is divided among the domains that
 * seem to need it, less what was sent there since the report.
 */
import type {Job, Step} from "../types/job.js"
import type {Queue} from "../types/fleet-config.js"

/** How often a whole job may change its failure domain; it never goes back. */
export const MAX_MOVES = 2
/** The oldest usable report: two heartbeats. */
const MAX_REPORT_AGE_MS = 500
/** Three heartbeats without a message. */
const MAX_SILENCE_MS = 650
/** For a connection with open calls, which carries a message every 100 ms. */
const MAX_QUIET_MS = 300
/** After a new placer's claim, its executors have answered by then. */
const STARTUP_MS = 400
/** The additional round trip to another failure domain. */
const ROUND_TRIP_MS = 3
/** The share of an executor that whole tasks fill, for executors of two or three times the tasks' size. */
const PACKING_RATIO = 0.8
const MILLICORES = 1_000

/** Another domain's reported capacity, and the state of its placer. */
export interface DomainReport {
	readonly failureDomain: string
	/** Reported free millicores of the freest executors. */
	readonly reportedCpu: readonly number[]
	/** The same less what was sent there since, largest first. */
	readonly freeCpu: readonly number[]
	/** Millicores of the tasks sent there since the report. */
	readonly sentCpu: number
	/** Core-milliseconds of work sent there since the report. */
	readonly sentWork: number
	readonly totalCpu: number
	/** Core-milliseconds of waiting work. */
	readonly waitingWork: number
	readonly labels: readonly string[]
	readonly ageMs: number
	readonly claimAgeMs: number
	readonly silentMs: number
	readonly unansweredMs: number
	readonly isEvacuated: boolean
	readonly isLeaving: boolean
	readonly isUnreachable: boolean
	readonly isStrained: boolean
}

/** The requirements of a job that the choice depends on. */
export interface MoveRequirements {
	/** Tasks without dependencies. */
	readonly tasks: number
	/** Millicores of the largest of these tasks. */
	readonly cpu: number
	/** Core-milliseconds of these tasks. */
	readonly work: number
	readonly labels: readonly string[]
	/** The latest useful start, in milliseconds from now. */
	readonly startInMs: number
	/** Failure domains that had the job before, which it must not return to. */
	readonly been: readonly string[]
}

/** The domain that has the job now. */
export interface OwnDomain {
	readonly failureDomain: string
	readonly totalCpu: number
	/** Core-milliseconds of waiting work; includes the job once it waits. */
	readonly waitingWork: number
	readonly waitedMs: number
	/** Whether the job would be refused here, so that it loses nothing by queueing elsewhere. */
	readonly wouldRefuse: boolean
}

export interface DomainChoice {
	readonly failureDomain: string
	/** Forecast waits here and in the chosen domain, in milliseconds. */
	readonly hereMs: number
	readonly thereMs: number
	readonly newsAgeMs: number
}

/** The choice compares processors only, which is not enough for other kinds of tasks. */
const isPlain = ({isGang, isLasting, isFilling, isServing}: Step) =>
	!isGang && !isLasting && !isFilling && !isServing

/** The requirements of a job that may move; undefined if it must stay. */
export function moveRequirementsOf(
	{been, steps}: Job,
	{advice}: Queue,
	startInMs: number,
): MoveRequirements | undefined {
	if (!been || been.length >= MAX_MOVES || advice || !steps.every(isPlain)) return undefined
	const first = steps.filter(({after}) => after.length === 0)
	const labels = steps.flatMap(({label, rack}) => [label, rack])
	return {
		tasks: first.reduce((sum, {count}) => sum + count, 0),
		cpu: Math.max(1, ...first.map(({need}) => need.cpu)),
		work: first.reduce(
			(sum, {count, need, estimateMs}) => sum + (count * need.cpu * estimateMs) / MILLICORES,
			0,
		),
		labels: labels.filter(label => label !== undefined),
		startInMs,
		been,
	}
}

/** How long a domain's executors take for the work, in milliseconds. */
const durationMs = (work: number, totalCpu: number) =>
	totalCpu > 0 ? work / ((totalCpu / MILLICORES) * PACKING_RATIO) : Infinity

/** The wait in the job's own domain, in milliseconds; at least as long as it has waited already. */
export function forecastLocalStartMs(
	{waitingWork, totalCpu, waitedMs}: OwnDomain,
	{work}: MoveRequirements,
) {
	const ahead = waitedMs > 0 ? Math.max(waitingWork, work) : waitingWork + work
	return Math.max(waitedMs, durationMs(ahead, totalCpu))
}

/** Whether a domain can take jobs from others: its placer is alive, its report is recent, and it is not evacuated. */
export function acceptsJobs(report: DomainReport): boolean {
	if (report.isEvacuated || report.isLeaving || report.isUnreachable || report.isStrained)
		return false
	if (report.silentMs >= MAX_SILENCE_MS || report.unansweredMs >= MAX_QUIET_MS) return false
	return report.claimAgeMs >= STARTUP_MS && report.ageMs <= MAX_REPORT_AGE_MS
}

/** The domains that may send work to this one, own included: those without room, and those without a recent report. */
export function countCompetitors(
	all: readonly DomainReport[],
	{failureDomain}: DomainReport,
): number {
	const others = all.filter(report => report.failureDomain !== failureDomain)
	const competitors = others.filter(
		({reportedCpu, ageMs}) => reportedCpu.length === 0 || ageMs > MAX_REPORT_AGE_MS,
	)
	return 1 + competitors.length
}

const sum = (figures: readonly number[]) => figures.reduce((total, figure) => total + figure, 0)

/** How many whole tasks of a size fit; what is left over on each executor is of no use to them. */
const countFitting = (freeCpu: readonly number[], cpu: number) =>
	sum(freeCpu.map(free => Math.floor(Math.max(0, free) / cpu)))

/** Whether the whole job fits into the own share of the room that the domain reported. */
export function fitsThere(
	report: DomainReport,
	{tasks, cpu}: MoveRequirements,
	competitors: number,
): boolean {
	const share = Math.floor(countFitting(report.reportedCpu, cpu) / competitors)
	if (tasks > share - Math.ceil(report.sentCpu / cpu)) return false
	return countFitting(report.freeCpu, cpu) >= tasks
}

/** The wait in another domain, in milliseconds; the queue may have grown for as long as the report is old. */
export function forecastRemoteStartMs(
	report: DomainReport,
	need: MoveRequirements,
	competitors: number,
): number {
	if (fitsThere(report, need, competitors)) return ROUND_TRIP_MS
	const ahead = report.waitingWork + report.sentWork * competitors + need.work
	return ROUND_TRIP_MS + durationMs(ahead, report.totalCpu) + report.ageMs
}

/** The wait after which a job may move, in milliseconds. */
export const moveAfterMs = (crossDomainMs: number) => crossDomainMs + ROUND_TRIP_MS

/** Whether a move can pay off at all; a cheap check before the choice. */
export const mayMove = (hereMs: number, crossDomainMs: number) =>
	hereMs >= moveAfterMs(crossDomainMs)

/** The domain where the job starts sooner by at least `crossDomainMs`; undefined if it stays. */
export function chooseDomain(
	own: OwnDomain,
	all: readonly DomainReport[],
	need: MoveRequirements,
	crossDomainMs: number,
): DomainChoice | undefined {
	const hereMs = forecastLocalStartMs(own, need)
	if (!mayMove(hereMs, crossDomainMs)) return undefined
	let best: {readonly report: DomainReport; readonly thereMs: number} | undefined
	for (const report of all) {
		if (need.been.includes(report.failureDomain) || !acceptsJobs(report)) continue
		if (need.labels.some(label => !report.labels.includes(label))) continue
		const competitors = countCompetitors(all, report)
		if (!own.wouldRefuse && !fitsThere(report, need, competitors)) continue
		const thereMs = forecastRemoteStartMs(report, need, competitors)
		if (thereMs > need.startInMs || !(hereMs - thereMs >= crossDomainMs)) continue
		if (!best || isBetterCandidate({report, thereMs}, best)) best = {report, thereMs}
	}
	if (!best) return undefined
	const {failureDomain, ageMs} = best.report
	return {failureDomain, hereMs, thereMs: best.thereMs, newsAgeMs: ageMs}
}

interface Candidate {
	readonly report: DomainReport
	readonly thereMs: number
}

/** Prefers the sooner start, then the domain with more free capacity. */
function isBetterCandidate(a: Candidate, b: Candidate): boolean {
	if (a.thereMs !== b.thereMs) return a.thereMs < b.thereMs
	return sum(a.report.freeCpu) > sum(b.report.freeCpu)
}
