#!/usr/bin/env node
/**
 * The command `cottonwood`: runs one entry instance.
 */
import meow from "meow"
import {readSettingsFile} from "./core/settings.js"
import {startInstance} from "./instance.js"

const EXIT_SETTINGS = 2
const EXIT_START = 1

const cli = meow(
	`
	Usage
	  $ cottonwood --settings FILE [--check | --print-settings]

	Options
	  --settings FILE    the JSON file with this process's settings
	  --check            check the settings and exit: 0 when they hold, 2 when not
	  --print-settings   print the settings in force, with defaults, and exit

	Environment
	  COTTONWOOD_INSTANCE, COTTONWOOD_FAILURE_DOMAIN, COTTONWOOD_HTTP_HOST,
	  COTTONWOOD_HTTP_PORT, COTTONWOOD_PEER_HOST, COTTONWOOD_PEER_PORT,
	  COTTONWOOD_PEER_ADVERTISE, COTTONWOOD_STORE, COTTONWOOD_LIST override the file.

	Examples
	  $ cottonwood --settings entry.json --check
	  $ COTTONWOOD_HTTP_PORT=7400 cottonwood --settings entry.json
`,
	{
		importMeta: import.meta,
		flags: {
			settings: {type: "string", isRequired: true},
			check: {type: "boolean", default: false},
			printSettings: {type: "boolean", default: false},
		},
	},
)

async function main() {
	const settings = readSettingsFile(cli.flags.settings, process.env)
	if (settings.isErr()) {
		process.stderr.write(`cottonwood: ${settings.error.detail}\n`)
		process.exit(EXIT_SETTINGS)
	}
	if (cli.flags.printSettings) {
		process.stdout.write(`${JSON.stringify(settings.value, null, "\t")}\n`)
		return
	}
	if (cli.flags.check) {
		process.stdout.write("The settings hold.\n")
		return
	}
	const instance = await startInstance(settings.value, () => process.exit(0))
	process.on("SIGTERM", () => void instance.drain())
	process.on("SIGINT", () => void instance.drain())
	const {httpPort, peerPort} = instance
	process.stdout.write(`${JSON.stringify({port: httpPort, httpPort, peerPort})}\n`)
}

main().catch((error: unknown) => {
	process.stderr.write(`cottonwood: ${(error as Error).message}\n`)
	process.exit(EXIT_START)
})
