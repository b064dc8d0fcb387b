/**
 * The plot of the experiment: one panel per measurement, one bar per profile, scenario and policy, with the range over
 * the seeds.
 */
import type {Figures} from "./load.js"

interface PlottedResult extends Figures {
	readonly profile: string
	readonly scenario: string
	readonly policy: string
}

interface Panel {
	readonly title: string
	readonly valueOf: (result: PlottedResult) => number
}

const PANELS: readonly Panel[] = Object.freeze([
	{title: "response over ideal, p50", valueOf: result => result.responseOverIdeal.p50},
	{title: "response over ideal, p99", valueOf: result => result.responseOverIdeal.p99},
	{title: "wasted messages per needed message", valueOf: result => result.wastedPerNeeded},
	{title: "goodput over capacity", valueOf: result => result.goodputOverCapacity},
])

const WIDTH = 900
const LABEL_WIDTH = 280
const BAR_HEIGHT = 18
const PANEL_GAP = 40
const COLORS: Readonly<Record<string, string>> = Object.freeze({
	cottonwood: "#2f6f4f",
	random: "#b0703c",
	earlier: "#7a8fa6",
})

function median(values: readonly number[]): number {
	const sorted = [...values].sort((a, b) => a - b)
	return sorted[Math.floor(sorted.length / 2)]!
}

function groupResults(results: readonly PlottedResult[]) {
	const groups = new Map<string, PlottedResult[]>()
	for (const result of results) {
		const name = `${result.profile}, ${result.scenario}, ${result.policy}`
		groups.set(name, [...(groups.get(name) ?? []), result])
	}
	return [...groups]
}

function drawPanel(panel: Panel, groups: ReturnType<typeof groupResults>, top: number): string {
	const all = groups.flatMap(([, results]) => results.map(panel.valueOf))
	const scale = (WIDTH - LABEL_WIDTH - 90) / Math.max(...all, 1e-9)
	const rows = groups.map(([name, results], index) => {
		const values = results.map(panel.valueOf)
		const y = top + 24 + index * (BAR_HEIGHT + 6)
		const middle = median(values)
		const low = LABEL_WIDTH + Math.min(...values) * scale
		const high = LABEL_WIDTH + Math.max(...values) * scale
		const color = COLORS[results[0]!.policy] ?? "#555"
		const lineY = y + BAR_HEIGHT / 2
		return [
			`<text x="${LABEL_WIDTH - 8}" y="${y + 13}" text-anchor="end">${name}</text>`,
			`<rect x="${LABEL_WIDTH}" y="${y}" width="${middle * scale}" height="${BAR_HEIGHT}" fill="${color}"/>`,
			`<line x1="${low}" x2="${high}" y1="${lineY}" y2="${lineY}" stroke="#111"/>`,
			`<text x="${high + 6}" y="${y + 13}">${middle.toPrecision(3)}</text>`,
		].join("\n")
	})
	return [`<text x="8" y="${top + 12}" font-weight="bold">${panel.title}</text>`, ...rows].join(
		"\n",
	)
}

/** Draws the results as an SVG document: medians as bars, ranges as lines. */
export function plotResults(results: readonly PlottedResult[]): string {
	const groups = groupResults(results)
	const panelHeight = groups.length * (BAR_HEIGHT + 6) + PANEL_GAP
	const height = panelHeight * PANELS.length + 20
	const panels = PANELS.map((panel, index) => drawPanel(panel, groups, 10 + index * panelHeight))
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="12">`,
		`<rect width="100%" height="100%" fill="#fff"/>`,
		...panels,
		"</svg>\n",
	].join("\n")
}
