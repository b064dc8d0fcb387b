/** The jobs of a replayed load: seeded arrivals of a few kinds, with run times that differ from their estimates. */
import type {Step} from "@cottonwood/jobs"
import type {ReplaySpec} from "./replay-executor.js"
import {SLACK_MS, STRETCH, type ReplayKind, type ReplayWork} from "./replay-work.js"

export interface ReplayJob {
	readonly id: string
	readonly kind: ReplayKind
	readonly failureDomain: string
	readonly at: number
	readonly spec: string
	readonly steps: readonly Step[]
	/** Based on the actual run times. */
	readonly objectiveMs: number
	readonly credit: number
}

const WIDTH_SPREAD = 0.4
const WORK_SPREAD = 0.4
const TASK_SPREAD = 0.15
const ESTIMATE_SPREAD = 0.4
const CPU_SPREAD = 0.2

/** A normal deviate from two uniform ones. */
function normal(random: () => number): number {
	return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
}

/** A log-normal deviate with this mean and relative spread. */
function spread(random: () => number, mean: number, share: number): number {
	return mean * Math.exp(share * normal(random) - (share * share) / 2)
}

const idOf = (serial: number) => serial.toString(16).padStart(16, "0")

function jobOf(
	serial: number,
	{meanCpu, maxCpu, tails}: ReplayWork,
	kind: ReplayKind,
	failureDomain: string,
	at: number,
	random: () => number,
): ReplayJob {
	const count = Math.max(1, Math.round(spread(random, kind.width, WIDTH_SPREAD)))
	const workMs = Math.min(kind.workMs * 4, spread(random, kind.workMs, WORK_SPREAD))
	const cpu = Math.min(maxCpu, Math.round(spread(random, meanCpu, CPU_SPREAD)))
	const tasks = Array.from({length: count}, () => spread(random, workMs, TASK_SPREAD))
	const ran = tails ? tasks.map(ms => (random() < tails.share ? ms * tails.times : ms)) : tasks
	const spec: ReplaySpec = {cpu, memoryMb: 64, workMs: ran}
	const work = (count * workMs * cpu) / (kind.width * kind.workMs * meanCpu)
	return {
		id: idOf(serial),
		kind,
		failureDomain,
		at,
		spec: JSON.stringify(spec),
		steps: [
			{
				count,
				need: {cpu, memoryMb: 64, accelerators: 0},
				estimateMs: Math.max(1, Math.round(spread(random, workMs, ESTIMATE_SPREAD))),
				after: [],
			},
		],
		objectiveMs: STRETCH * Math.max(...ran) + SLACK_MS,
		credit: kind.credit * Math.min(4, 0.3 + 0.7 * work),
	}
}

export interface Arrivals {
	readonly work: ReplayWork
	readonly failureDomains: readonly string[]
	readonly jobsPerSecond: number
	readonly lengthMs: number
	/** Relative rate of jobs in each domain; 1 by default. */
	readonly demand?: readonly number[]
	/** Factor on the rate of a kind of job at a time. */
	readonly surge: (at: number, kind: ReplayKind) => number
}

/** Factor on a domain's mean rate at a time; each domain has its own phase. */
function waveOf({swing, swingPeriodMs}: ReplayWork, phase: number): (at: number) => number {
	return at => 1 + swing * Math.sin(2 * Math.PI * (at / swingPeriodMs + phase))
}

/** Draws the jobs of all domains, ordered by arrival. */
export function drawJobs(arrivals: Arrivals, random: () => number): readonly ReplayJob[] {
	const {work, failureDomains, jobsPerSecond, lengthMs, surge, demand} = arrivals
	const jobs: ReplayJob[] = []
	let serial = 0
	failureDomains.forEach((failureDomain, domain) => {
		const wave = waveOf(work, domain / failureDomains.length)
		const times = demand?.[domain] ?? 1
		for (const kind of work.kinds) {
			const perMs = (jobsPerSecond * kind.weight * times) / failureDomains.length / 1_000
			for (let at = 0; at < lengthMs;) {
				at += -Math.log(1 - random()) / (perMs * wave(at) * surge(at, kind))
				jobs.push(jobOf(++serial, work, kind, failureDomain, at, random))
			}
		}
	})
	return jobs.sort((a, b) => a.at - b.at)
}
