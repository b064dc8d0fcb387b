/**
 * Command line of the experiment (`npm run experiment`): runs the same seeded load against each policy and writes
 * `experiment.json` and `experiment.svg`.
 */
import {writeFileSync} from "node:fs"
import {join} from "node:path"
import meow from "meow"
import {request} from "undici"
import {startFleet, type Fleet} from "../fleet/fleet.js"
import {seededRandom} from "../utils/random.js"
import {drawLoad, runLoad, type Figures} from "./load.js"
import {plotResults} from "./plot.js"
import {fleetPolicy, randomPolicy} from "./policies.js"
import {PROFILES, SCENARIOS, type Profile, type Scenario} from "./profiles.js"

export interface Result extends Figures {
	readonly profile: string
	readonly scenario: string
	readonly policy: string
	readonly seed: number
}

const cli = meow(
	`
	Usage
	  $ npm run experiment -- [--profile NAME] [--scenario NAME] [--policy NAME] [--seed N ...]
	                          [--earlier BIN] [--out DIR]

	Policies: cottonwood, random, earlier (needs --earlier: an earlier build's entry command).
`,
	{
		importMeta: import.meta,
		flags: {
			profile: {type: "string"},
			scenario: {type: "string"},
			policy: {type: "string", isMultiple: true, default: ["random", "cottonwood"]},
			seed: {type: "number", isMultiple: true, default: [1, 2, 3]},
			earlier: {type: "string"},
			out: {type: "string", default: "."},
		},
	},
)

async function setBehavior(port: number, behavior: object) {
	const res = await request(`http://127.0.0.1:${port}/behavior`, {
		method: "PUT",
		body: JSON.stringify(behavior),
		headers: {"content-type": "application/json"},
	})
	await res.body.dump()
}

/** Makes the scenario's shares of executors and workers fail everything or run slowly. */
async function makeFaulty(fleet: Fleet, scenario: Scenario) {
	for (const targets of [fleet.executors, fleet.workers]) {
		const failing = Math.round(targets.length * scenario.failing)
		const slow = Math.round(targets.length * scenario.slow)
		for (const [index, target] of targets.entries()) {
			if (index % 10 === 3 && index / 10 < failing) await setBehavior(target.port, {failAll: true})
			if (index % 10 === 7 && index / 10 < slow) await setBehavior(target.port, {slowFactor: 5})
		}
	}
}

async function runOne(
	profile: Profile,
	scenario: Scenario,
	policy: string,
	seed: number,
): Promise<Result> {
	const entryBin = policy === "earlier" ? cli.flags.earlier : undefined
	const fleet = await startFleet({...profile.shape, entryBin})
	try {
		const warmUp = {...scenario, durationMs: 3_000, burst: 0, load: 0.4}
		const createPolicy = (plan: Scenario, salt: number) =>
			policy === "random"
				? randomPolicy(fleet, plan, seededRandom(seed + salt))
				: fleetPolicy(fleet, plan)
		const warmUpPolicy = createPolicy(warmUp, 1_000)
		const warmWork = drawLoad(profile, warmUp, seededRandom(seed + 500))
		await runLoad(warmWork, profile, warmUp, warmUpPolicy.send, warmUpPolicy.readSums)
		await makeFaulty(fleet, scenario)
		const measured = createPolicy(scenario, 2_000)
		const submissions = drawLoad(profile, scenario, seededRandom(seed))
		const figures = await runLoad(submissions, profile, scenario, measured.send, measured.readSums)
		return {profile: profile.name, scenario: scenario.name, policy, seed, ...figures}
	} finally {
		await fleet.stop()
	}
}

const isWanted = (name: string, wanted: string | undefined) =>
	wanted === undefined || wanted === name
const results: Result[] = []
for (const profile of PROFILES.filter(item => isWanted(item.name, cli.flags.profile))) {
	for (const scenario of SCENARIOS.filter(item => isWanted(item.name, cli.flags.scenario))) {
		for (const policy of cli.flags.policy) {
			for (const seed of cli.flags.seed) {
				const result = await runOne(profile, scenario, policy, seed)
				results.push(result)
				process.stdout.write(`${JSON.stringify(result)}\n`)
			}
		}
	}
}
writeFileSync(join(cli.flags.out, "experiment.json"), `${JSON.stringify(results, null, "\t")}\n`)
writeFileSync(join(cli.flags.out, "experiment.svg"), plotResults(results))
