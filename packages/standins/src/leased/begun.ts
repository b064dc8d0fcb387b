/**
 * Preloaded into an instance: writes a byte to descriptor 3 when the program reads its first file besides the script
 * that starts it. Signals that end the process before that come too early for any program to catch.
 */
import fs from "node:fs"

const MARK_DESCRIPTOR = 3

const read = fs.readFileSync as (...args: unknown[]) => unknown
Object.assign(fs, {
	readFileSync(...args: unknown[]) {
		if (args[0] !== process.argv[1]) {
			Object.assign(fs, {readFileSync: read})
			fs.writeSync(MARK_DESCRIPTOR, ".")
		}
		return read(...args)
	},
})
