/**
 * Lets one process at a time do something: the one whose id a file has.
 */
import {mkdirSync, readFileSync, rmSync, statSync, writeFileSync} from "node:fs"
import {dirname} from "node:path"
import {pid} from "node:process"
import {setTimeout as sleep} from "node:timers/promises"

const POLL_MS = 200
/** After this time the holder is taken for ended: its id may by now be another process's, or one of another machine. */
const HOLD_MS = 300_000

function take(path) {
	try {
		writeFileSync(path, String(pid), {flag: "wx"})
		return true
	} catch (err) {
		if (err.code === "EEXIST") return false
		throw err
	}
}

function isRunning(id) {
	try {
		process.kill(id, 0)
		return true
	} catch (err) {
		return err.code === "EPERM"
	}
}

function isHeld(path) {
	try {
		const isRecent = Date.now() - statSync(path).mtimeMs < HOLD_MS
		return isRecent && isRunning(Number(readFileSync(path, "utf8")))
	} catch {
		return false
	}
}

/** Resolves when this process has the file, once its holder has given it back or has ended. */
export async function hold(path) {
	mkdirSync(dirname(path), {recursive: true})
	while (!take(path)) {
		if (isHeld(path)) await sleep(POLL_MS)
		else rmSync(path, {force: true})
	}
}

export function release(path) {
	rmSync(path, {force: true})
}
