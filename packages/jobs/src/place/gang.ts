/** Gang scheduling: chooses executors for all members of a gang, or for none. */
import type {ExecutorLink} from "../link/executor-link.js"
import type {ExecutorAssessment} from "./executor-assessment.js"
import type {TaskRequest} from "./run.js"
import {chooseExecutor} from "../decide/selection.js"
import {suits} from "../decide/suitability.js"
import {stepNameOf, type WaitingTask} from "./task-queue.js"

type Links = ReadonlyMap<string, ExecutorLink>

/**
 * An executor for each member, in order; undefined unless all members fit at once. Executors that the gang avoids are used
 * when it could never fit on the others.
 */
export function chooseGang(
	links: Links,
	members: readonly WaitingTask[],
	assessment: ExecutorAssessment,
): readonly ExecutorLink[] | undefined {
	const first = members[0]?.req
	const places = chooseInOneRack(links, members, assessment)
	if (places || !first || first.avoid.length === 0) return places
	const others = new Map([...links].filter(([id]) => !first.avoid.includes(id)))
	if (wouldFitIdle(others, first, members.length)) return undefined
	const returning = members.map(item => ({...item, req: {...item.req, avoid: []}}))
	return chooseInOneRack(links, returning, assessment)
}

/** The same; a gang that wants one rack gets executors of several only if no rack has room for it. */
function chooseInOneRack(
	links: Links,
	members: readonly WaitingTask[],
	assessment: ExecutorAssessment,
): readonly ExecutorLink[] | undefined {
	if (members[0]?.req.gang?.wantsOneRack) {
		for (const rack of racksOf(links)) {
			const inRack = new Map([...links].filter(([, link]) => link.record.rack === rack))
			const places = chooseAll(inRack, members, assessment)
			if (places) return places
		}
	}
	return chooseAll(links, members, assessment)
}

function racksOf(links: Links): ReadonlySet<string> {
	const racks = new Set<string>()
	for (const {record} of links.values()) if (record.rack !== undefined) racks.add(record.rack)
	return racks
}

function chooseAll(
	links: Links,
	members: readonly WaitingTask[],
	{health, speeds}: ExecutorAssessment,
): readonly ExecutorLink[] | undefined {
	const places: ExecutorLink[] = []
	for (const {req} of members) {
		const link = chooseExecutor(withinLimit(links, places, req), req, health, speeds)
		if (!link) break
		link.reserve(req)
		places.push(link)
	}
	places.forEach((link, at) => link.unreserve((members[at] as WaitingTask).req))
	return places.length === members.length ? places : undefined
}

/** The executors that may take another member by the step's limit per executor. */
function withinLimit(links: Links, places: readonly ExecutorLink[], req: TaskRequest): Links {
	const {maxPerExecutor} = req
	if (!maxPerExecutor) return links
	const chosen = (link: ExecutorLink) => places.filter(place => place === link).length
	const isBelowLimit = (link: ExecutorLink) =>
		link.countOf(stepNameOf(req.task)) + chosen(link) < maxPerExecutor
	return new Map([...links].filter(([, link]) => isBelowLimit(link)))
}

/** Whether the whole gang would fit if only lasting tasks were left on the executors. */
export function wouldFitIdle(links: Links, req: TaskRequest, size: number): boolean {
	let fits = 0
	for (const link of links.values()) {
		if (!link.isUsable() || !suits(link.record, req)) continue
		fits += link.countFittingBesideLasting(req)
	}
	return fits >= size
}
