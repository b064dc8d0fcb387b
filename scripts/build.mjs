/**
 * Builds what a deployment runs, from the sources: installs the packages where those that are there can't be used, and makes
 * target/.
 */
import {spawnSync} from "node:child_process"
import {findFault, install} from "./packages.mjs"

function report(message) {
	process.stderr.write(`build: ${message}\n`)
}

async function installOver(fault, isNeeded) {
	report(`installing packages: ${fault}.`)
	const left = await install(isNeeded)
	if (left) report(`the packages are still wrong: ${left}.`)
}

function bundle() {
	return spawnSync(process.execPath, ["scripts/bundle.mjs"], {stdio: "inherit"}).status
}

const fault = findFault()
if (fault) await installOver(fault)
let status = bundle()
if (status !== 0 && !fault) {
	await installOver("the bundle could not be made", true)
	status = bundle()
}
process.exit(status ?? 1)
