/**
 * Frame of a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run; ends all that
 * it started.
 */
/* global setTimeout, console */
import {dirname, join} from "node:path"
import {fileURLToPath} from "node:url"
import {openRecord} from "./platform.mjs"
import {isBuilt} from "./system.mjs"

const LIMIT_MS = 115_000

/** `play` resolves with the breaks of the rule, as texts; `undefined` if the case could not run. */
export async function runCase(url, play) {
	const record = openRecord(join(dirname(fileURLToPath(url)), "record.txt"))
	const closing = []
	let code = 2
	const end = async () => {
		for (const close of closing.reverse()) await close()
		await record.close()
		process.exit(code)
	}
	setTimeout(() => {
		console.log("the case took too long")
		code = 2
		void end()
	}, LIMIT_MS)
	process.once("SIGTERM", () => void end())
	process.once("SIGINT", () => void end())
	try {
		if (!isBuilt()) throw new Error("target/cottonwood.cjs is missing")
		const breaks = await play({record, closing})
		for (const text of breaks) record.note("broken", {text})
		for (const text of breaks.slice(0, 8)) console.log(text)
		if (breaks.length > 8) console.log(`and ${breaks.length - 8} more`)
		console.log(breaks.length > 0 ? "the rule is broken" : "the rule held")
		code = breaks.length > 0 ? 1 : 0
	} catch (error) {
		record.note("could not run", {cause: error.stack})
		console.log(`the case could not run: ${error.message}`)
	}
	await end()
}
