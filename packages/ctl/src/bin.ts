#!/usr/bin/env node
/**
 * The command `cottonwoodctl`, for operators and callers.
 */
import meow from "meow"
import type {Command} from "./commands/command.js"
import {config, drain, endpoints, evacuate, instances, workers} from "./commands/operators.js"
import {cancel, explain, jobs, status, submit} from "./commands/submissions.js"
import {trace} from "./commands/trace.js"
import {EXIT} from "./output.js"

const COMMANDS: Readonly<Record<string, Command>> = Object.freeze({
	submit,
	status,
	cancel,
	jobs,
	explain,
	config,
	instances,
	endpoints,
	workers,
	evacuate,
	drain,
	trace,
})

const cli = meow(
	`
	Usage
	  $ cottonwoodctl COMMAND [WORDS] [--url URL] [--json]

	Commands
	  submit FILE          submit a job (a file with "tasks") or a request; - reads standard input
	  status ID            what became of a submission
	  cancel ID            stop a submission
	  jobs                 the submissions that the instance owns, newest last
	  explain ID           the decisions taken for a submission, in order, with cause
	  config get           the configuration in force
	  config put FILE      change it, if its version is still --if-version
	  config diff FILE     what a file would change
	  config history       all versions, with author and time
	  instances | endpoints | workers
	  evacuate [DOMAIN]    send nothing further to a failure domain's targets; --finish takes it back
	  trace ID [FILE...]   a job's timeline from the instances' log lines (or standard input)
	  drain                stop the instance at --url without cutting a request

	Options
	  --url URL            the entry instance (or COTTONWOOD_URL; default http://127.0.0.1:7400)
	  --caller NAME        the caller's name (or COTTONWOOD_CALLER; default "operator")
	  --id ID              the submission's id; the same id again joins the first submission
	  --deadline-ms N      how long the caller can use the answer
	  --if-version N       the version that a change replaces
	  --author NAME        who changes the configuration
	  --finish             with evacuate: use the failure domain again
	  --limit N            how many submissions to list
	  --json               print JSON

	Exit codes
	  0 done   1 failed   2 usage   3 refused, not run   4 unknown whether it ran
	  5 no instance answered   6 another change of the configuration won

	Examples
	  $ cottonwoodctl submit job.json --id 0190-claims-7 --deadline-ms 5000
	  $ cottonwoodctl explain 0190-claims-7
	  $ cottonwoodctl config put new.json --if-version 12 --author ana
`,
	{
		importMeta: import.meta,
		flags: {
			url: {type: "string", default: process.env.COTTONWOOD_URL ?? "http://127.0.0.1:7400"},
			caller: {type: "string", default: process.env.COTTONWOOD_CALLER ?? "operator"},
			json: {type: "boolean", default: false},
			id: {type: "string"},
			deadlineMs: {type: "number"},
			ifVersion: {type: "number"},
			author: {type: "string", default: process.env.USER ?? "unknown"},
			limit: {type: "number", default: 50},
			finish: {type: "boolean", default: false},
		},
	},
)

async function main(): Promise<number> {
	const [name = "", ...words] = cli.input
	const command = Object.hasOwn(COMMANDS, name) ? COMMANDS[name] : undefined
	if (!command) {
		process.stderr.write(name === "" ? cli.help : `unknown command "${name}"; see --help\n`)
		return EXIT.usage
	}
	const {url, caller, json, id, deadlineMs, ifVersion, author, limit, finish} = cli.flags
	const code = await command({
		connection: {url, caller},
		words,
		asJson: json,
		flags: {id, deadlineMs, version: ifVersion, author, limit, finish},
	})
	if (code === EXIT.usage) process.stderr.write(`usage of "${name}": see --help\n`)
	return code
}

main().then(
	code => (process.exitCode = code),
	(error: unknown) => {
		process.stderr.write(`cottonwoodctl: ${(error as Error).message}\n`)
		process.exitCode = EXIT.failed
	},
)
