/**
 * The settings file of an instance, as the platform lays it: whole or in two steps, with fields that may be unknown,
 * null or missing.
 */
import {writeFileSync} from "node:fs"
import {sleep} from "../utils/sleep.js"

export type Settings = Readonly<Record<string, unknown>>

export interface SettingsPlan {
	readonly name: string
	readonly failureDomain: string
	readonly failureDomains: readonly string[]
	readonly ip: string
	/** For callers, readiness and peers. */
	readonly ports: readonly number[]
	readonly storeAddress: string
	/** In cores. */
	readonly cpuShare: number
}

export const settingsOf = (plan: SettingsPlan): Settings => ({
	node: plan.name,
	ip: plan.ip,
	zone: plan.failureDomain,
	zones: Object.fromEntries(plan.failureDomains.map(domain => [domain, "region"])),
	listen: {front: `${plan.ip}:${plan.ports[0]}`, ready: `${plan.ip}:${plan.ports[1]}`},
	"port-range": [plan.ports[2], plan.ports[2]],
	orders: "rpc",
	limits: {"cpu-share": plan.cpuShare, cores: 1, "memory-mb": 350, "link-mbps": 1_000},
	platform: {address: plan.storeAddress, "writes-per-s": 400, "value-bytes": 1_048_576},
	bounds: {
		"max-hold-ms": 1_000,
		"grace-s": 6,
		"stop-grace-ms": 50,
		"retransmit-ms": 1_300,
		status_s: 120,
	},
})

/** Fields that a deployment need not give, by section; an empty section name is the file itself. */
const OPTIONAL_FIELDS: readonly (readonly [section: string, field: string])[] = [
	["", "advice"],
	["limits", "cores"],
	["limits", "memory-mb"],
	["limits", "link-mbps"],
	["platform", "writes-per-s"],
	["platform", "value-bytes"],
	["bounds", "stop-grace-ms"],
	["bounds", "status_s"],
]
const NULL_SHARE = 0.2
const GONE_SHARE = 0.2
const UNKNOWN_SHARE = 0.5

function withField(settings: Settings, section: string, field: string, value: unknown): Settings {
	if (section === "") return {...settings, [field]: value}
	return {...settings, [section]: {...(settings[section] as Settings), [field]: value}}
}

/** Adds fields that the program doesn't know; gives some optional fields as null and leaves some out. */
export function varySettings(settings: Settings, random: () => number): Settings {
	let varied = settings
	for (const [section, field] of OPTIONAL_FIELDS) {
		const share = random()
		if (share < NULL_SHARE) varied = withField(varied, section, field, null)
		// Fields that are undefined are not written.
		else if (share < NULL_SHARE + GONE_SHARE) varied = withField(varied, section, field, undefined)
	}
	for (const section of ["", "listen", "limits", "platform", "bounds"])
		if (random() < UNKNOWN_SHARE) varied = withField(varied, section, "unknown-field", {a: [1]})
	return varied
}

/**
 * Writes the file whole or, if `halfMs` is not 0, empties it, writes half of it and the rest after that time. Leaves the
 * file alone as soon as it is not current.
 */
export async function laySettings(
	file: string,
	settings: Settings,
	halfMs: number,
	isCurrent: () => boolean,
) {
	const text = JSON.stringify(settings)
	const half = text.slice(0, text.length / 2)
	const write = (content: string) => isCurrent() && writeFileSync(file, content)
	if (halfMs > 0) {
		write("")
		await sleep(halfMs / 2)
		write(half)
		await sleep(halfMs / 2)
	}
	write(text)
}
