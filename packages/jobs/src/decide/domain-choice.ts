/**
 * Which failure domain a job goes to whose own has no room for it: where it is forecast to start sooner.
 *
 * The load: demand that is uneven. One domain is at the crest of its wave, or has twice the others' demand, while another
 * has room. What each domain told is up to half a second old and told to all, so that room is shared among those that seem
 * to need it, and what was sent there since is taken off: nobody's free executors become everybody's queue.
 */
import type {Job, Step} from "../types/job.js"
import type {Queue} from "../types/fleet-config.js"

/** A job, with its tasks, changes its failure domain at most so often, and never back. */
export const MAX_MOVES = 2
/** Told room that is older says nothing any more: two beats. */
const NEWS_AGE_MS = 500
/** Three beats. */
const SILENT_MS = 650
/** Of a connection with calls under way, which says something ten times a second. */
const QUIET_MS = 300
/** After a change of its placer a domain's executors have answered by then. */
const BEGINNING_MS = 400
/** There and back between two failure domains, beyond the way to the own one. */
const WAY_MS = 3
/** Whole tasks fill about this share of executors of two or three times their size. */
const PACKED_SHARE = 0.8
const MILLICORES = 1_000

/** What another domain told, and what is known of its placer. */
export interface DomainReport {
	readonly failureDomain: string
	/** Thousandths of a core of its freest executors as they were told. */
	readonly reportedCpu: readonly number[]
	/** The same after what was sent there since, largest first. */
	readonly freeCpu: readonly number[]
	/** Sent there since it was told. */
	readonly sentCpu: number
	/** Core-milliseconds that were sent there since. */
	readonly sentWork: number
	readonly totalCpu: number
	/** Core-milliseconds of work that wait there. */
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

/** What of a job counts for the choice. */
export interface JobNeed {
	/** Tasks that may start at once. */
	readonly tasks: number
	/** Thousandths of a core of the largest of them. */
	readonly cpu: number
	/** Core-milliseconds of all of them. */
	readonly work: number
	readonly labels: readonly string[]
	/** After so many milliseconds a start is of no use. */
	readonly startInMs: number
	/** Failure domains that it must not go to: whose placers had it before. */
	readonly been: readonly string[]
}

/** The placer that has the job, and has no room for it now. */
export interface OwnDomain {
	readonly failureDomain: string
	readonly totalCpu: number
	/** Core-milliseconds that wait here, of the job itself only once it waits. */
	readonly waitingWork: number
	readonly waitedMs: number
	/** It would refuse the job, which then loses nothing by a queue elsewhere. */
	readonly wouldRefuse: boolean
}

export interface DomainChoice {
	readonly failureDomain: string
	/** Forecast waits until the job could start, in milliseconds. */
	readonly hereMs: number
	readonly thereMs: number
	readonly newsAgeMs: number
}

/** Only plain tasks can be judged by processors alone. */
const isPlain = ({isGang, isLasting, isFilling, isServing}: Step) =>
	!isGang && !isLasting && !isFilling && !isServing

/** What a job that may move asks for; undefined for one that stays where it is. */
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

/** How long so much work takes a domain's executors, in milliseconds. */
const paceMs = (work: number, totalCpu: number) =>
	totalCpu > 0 ? work / ((totalCpu / MILLICORES) * PACKED_SHARE) : Infinity

/** Until a job that finds no room here could start; what has waited already is taken to wait as long again. */
export function forecastLocalStartMs(
	{waitingWork, totalCpu, waitedMs}: OwnDomain,
	{work}: JobNeed,
) {
	const ahead = waitedMs > 0 ? Math.max(waitingWork, work) : waitingWork + work
	return Math.max(waitedMs, paceMs(ahead, totalCpu))
}

/** Whether a domain takes anything from others: nothing goes where it would lie, or be lost. */
export function isOpen(news: DomainReport): boolean {
	if (news.isEvacuated || news.isLeaving || news.isUnreachable || news.isStrained) return false
	if (news.silentMs >= SILENT_MS || news.quietMs >= QUIET_MS) return false
	return news.claimAgeMs >= BEGINNING_MS && news.ageMs <= NEWS_AGE_MS
}

/** Domains without room may send work to those that have some; one that was not heard may be such a one. */
export function countRivals(all: readonly DomainReport[], {failureDomain}: DomainReport): number {
	const others = all.filter(news => news.failureDomain !== failureDomain)
	const hungry = others.filter(
		({reportedCpu: toldCpu, ageMs}) => toldCpu.length === 0 || ageMs > NEWS_AGE_MS,
	)
	return 1 + hungry.length
}

const sum = (figures: readonly number[]) => figures.reduce((total, figure) => total + figure, 0)

/** Whole tasks of a size that fit; what is left over on each executor is of no use to them. */
const countFitting = (freeCpu: readonly number[], cpu: number) =>
	sum(freeCpu.map(free => Math.floor(Math.max(0, free) / cpu)))

/** Whether the job fits whole into this domain's share of the told room. */
export function fitsThere(news: DomainReport, {tasks, cpu}: JobNeed, rivals: number): boolean {
	const share = Math.floor(countFitting(news.reportedCpu, cpu) / rivals)
	if (tasks > share - Math.ceil(news.sentCpu / cpu)) return false
	return countFitting(news.freeCpu, cpu) >= tasks
}

/** Until the job could start there; a queue may have grown for as long as it was not told. */
export function forecastThereMs(news: DomainReport, need: JobNeed, rivals: number): number {
	if (fitsThere(news, need, rivals)) return WAY_MS
	const ahead = news.waitingWork + news.sentWork * rivals + need.work
	return WAY_MS + paceMs(ahead, news.totalCpu) + news.ageMs
}

/** What finds no room for so long may leave by its wait alone, in milliseconds. */
export const moveAfterMs = (crossDomainMs: number) => crossDomainMs + WAY_MS

/** Whether leaving may be worth its way at all; costs nothing, and is asked first. */
export const mayMove = (hereMs: number, crossDomainMs: number) =>
	hereMs >= moveAfterMs(crossDomainMs)

/** The domain where the job is forecast to start sooner by more than leaving costs; undefined: it stays. */
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

/** Of two that would start it alike, the one with more room left: so that work spreads by room. */
function isBetter(a: Offer, b: Offer): boolean {
	if (a.thereMs !== b.thereMs) return a.thereMs < b.thereMs
	return sum(a.news.freeCpu) > sum(b.news.freeCpu)
}
