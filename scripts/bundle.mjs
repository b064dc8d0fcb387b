/**
 * Bundles the platform's program into target/, from the sources, so that a deployment needs no built packages:
 * its source in one file, what the runtime compiles of it, and the script that starts it from both.
 *
 * Compiling the source took 0.13 of the 0.36 s of processor time of a start.
 */
import {spawnSync} from "node:child_process"
import {mkdirSync, readFileSync, renameSync, writeFileSync} from "node:fs"
import {Buffer} from "node:buffer"
import {pid} from "node:process"
import {crc32} from "node:zlib"
import {build} from "esbuild"
import {NATIVE} from "./packages.mjs"

/** As in deploy/system.toml: compiled code is refused under other arguments. */
const RUNTIME_ARGS = ["--max-old-space-size=160"]
const START = "target/cottonwood.cjs"

/**
 * Replaces a file as a whole. Processes that run from the folder have the library mapped, and are ended by a signal when it is
 * written to in place.
 */
function replaceFile(path, contents) {
	const written = `${path}.${pid}`
	writeFileSync(written, contents)
	renameSync(written, path)
}

/** Ends the source with the checksum of all before it, as scripts/start.cjs checks it. */
function sealed(contents) {
	const text = Buffer.concat([contents, Buffer.from("\n//")])
	return Buffer.concat([text, Buffer.from(crc32(text).toString(16).padStart(8, "0"))])
}

const {outputFiles} = await build({
	write: false,
	entryPoints: ["platform/src/main.ts"],
	outfile: "target/program.cjs",
	bundle: true,
	platform: "node",
	target: "node20",
	format: "cjs",
	sourcemap: false,
	// Half the text to read; names stay, for stack traces.
	minifyWhitespace: true,
	charset: "ascii",
	legalComments: "none",
	alias: {
		"@cottonwood/core/clock": "./packages/core/src/utils/clock.ts",
		"@cottonwood/core/health": "./packages/core/src/core/health.ts",
		"@cottonwood/wire/json": "./packages/wire/src/json-service.ts",
		"@cottonwood/wire/datagrams": "./packages/wire/src/datagrams.ts",
		"@cottonwood/jobs": "./packages/jobs/src/index.ts",
		// Of the library's parts only this one is used; loading the others took 40 ms of a start.
		undici: "./scripts/undici-agent.mjs",
		koffi: NATIVE,
	},
	loader: {".node": "copy"},
	logLevel: "warning",
})
mkdirSync("target", {recursive: true})
for (const {path, contents} of outputFiles)
	replaceFile(path, path.endsWith(".cjs") ? sealed(contents) : contents)
replaceFile(START, readFileSync("scripts/start.cjs"))
const {status} = spawnSync(process.execPath, [...RUNTIME_ARGS, START, "--compile"], {
	// What the rehearsal logs is of no interest.
	stdio: ["ignore", "ignore", "inherit"],
})
process.exit(status ?? 1)
