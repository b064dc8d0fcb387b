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
const NEWS_AGE_MS = 500
/** Three heartbeats without a message. */
const SILENT_MS = 650
/** For a connection with open calls, which carries a message every 100 ms. */
const QUIET_MS = 300
/** After a new placer's claim, its executors have answered by then. */
const BEGINNING_MS = 400
/** The additional round trip to another failure domain. */
const WAY_MS = 3
/** The share of an executor that whole tasks fill, for executors of two or three times the tasks' size. */
const PACKED_SHARE = 0.8
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
	readonly quietMs: number
	readonly isEvacuated: boolean
	readonly isLeaving: boolean
	readonly isUnreachable: boolean
	readonly isStrained: boolean
}

/** The requirements of a job that the choice depends on. */
export interface JobNeed {
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
export function needOf(
	{been, steps}: Job,
	{advice}: Queue,
	startInMs: number,
): JobNeed | undefined {
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
const paceMs = (work: number, totalCpu: number) =>
	totalCpu > 0 ? work / ((totalCpu / MILLICORES) * PACKED_SHARE) : Infinity

/** The wait in the job's own domain, in milliseconds; at least as long as it has waited already. */
export function forecastLocalStartMs(
	{waitingWork, totalCpu, waitedMs}: OwnDomain,
	{work}: JobNeed,
) {
	const ahead = waitedMs > 0 ? Math.max(waitingWork, work) : waitingWork + work
	return Math.max(waitedMs, paceMs(ahead, totalCpu))
}

/** Whether a domain can take jobs from others: its placer is alive, its report is recent, and it is not evacuated. */
export function isOpen(news: DomainReport): boolean {
	if (news.isEvacuated || news.isLeaving || news.isUnreachable || news.isStrained) return false
	if (news.silentMs >= SILENT_MS || news.quietMs >= QUIET_MS) return false
	return news.claimAgeMs >= BEGINNING_MS && news.ageMs <= NEWS_AGE_MS
}

/** The domains that may send work to this one, own included: those without room, and those without a recent report. */
export function countRivals(all: readonly DomainReport[], {failureDomain}: DomainReport): number {
	const others = all.filter(news => news.failureDomain !== failureDomain)
	const hungry = others.filter(
		({reportedCpu: toldCpu, ageMs}) => toldCpu.length === 0 || ageMs > NEWS_AGE_MS,
	)
	return 1 + hungry.length
}

const sum = (figures: readonly number[]) => figures.reduce((total, figure) => total + figure, 0)

/** How many whole tasks of a size fit. */
const countFitting = (freeCpu: readonly number[], cpu: number) =>
	sum(freeCpu.map(free => Math.floor(Math.max(0, free) / cpu)))

/** Whether the whole job fits into the own share of the room that the domain reported. */
export function fitsThere(news: DomainReport, {tasks, cpu}: JobNeed, rivals: number): boolean {
	const share = Math.floor(countFitting(news.reportedCpu, cpu) / rivals)
	if (tasks > share - Math.ceil(news.sentCpu / cpu)) return false
	return countFitting(news.freeCpu, cpu) >= tasks
}

/** The wait in another domain, in milliseconds; the queue may have grown for as long as the report is old. */
export function forecastThereMs(news: DomainReport, need: JobNeed, rivals: number): number {
	if (fitsThere(news, need, rivals)) return WAY_MS
	const ahead = news.waitingWork + news.sentWork * rivals + need.work
	return WAY_MS + paceMs(ahead, news.totalCpu) + news.ageMs
}

/** The wait after which a job may move, in milliseconds. */
export const moveAfterMs = (crossDomainMs: number) => crossDomainMs + WAY_MS

/** Whether a move can pay off at all; a cheap check before the choice. */
export const mayMove = (hereMs: number, crossDomainMs: number) =>
	hereMs >= moveAfterMs(crossDomainMs)

/** The domain where the job starts sooner by at least `crossDomainMs`; undefined if it stays. */
export function chooseDomain(
	own: OwnDomain,
	all: readonly DomainReport[],
	need: JobNeed,
	crossDomainMs: number,
): DomainChoice | undefined {
	const hereMs = forecastLocalStartMs(own, need)
	if (!mayMove(hereMs, crossDomainMs)) return undefined
	let best: {readonly news: DomainReport; readonly thereMs: number} | undefined
	for (const news of all) {
		if (need.been.includes(news.failureDomain) || !isOpen(news)) continue
		if (need.labels.some(label => !news.labels.includes(label))) continue
		const rivals = countRivals(all, news)
		if (!own.wouldRefuse && !fitsThere(news, need, rivals)) continue
		const thereMs = forecastThereMs(news, need, rivals)
		if (thereMs > need.startInMs || !(hereMs - thereMs >= crossDomainMs)) continue
		if (!best || isBetter({news, thereMs}, best)) best = {news, thereMs}
	}
	if (!best) return undefined
	const {failureDomain, ageMs} = best.news
	return {failureDomain, hereMs, thereMs: best.thereMs, newsAgeMs: ageMs}
}

interface Offer {
	readonly news: DomainReport
	readonly thereMs: number
}

/** Prefers the sooner start, then the domain with more free capacity. */
function isBetter(a: Offer, b: Offer): boolean {
	if (a.thereMs !== b.thereMs) return a.thereMs < b.thereMs
	return sum(a.news.freeCpu) > sum(b.news.freeCpu)
}
