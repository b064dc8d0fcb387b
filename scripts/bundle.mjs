/**
 * Bundles the platform's program into target/, from the sources, so that a deployment needs no built packages:
 * its source in one file, what the runtime compiles of it, the native library, and the script that starts it from these.
 *
 * Compiling the source took 0.13 of the 0.36 s of processor time of a start.
 */
import {spawnSync} from "node:child_process"
import {
	mkdirSync,
	readdirSync,
	readFileSync,
	renameSync,
	rmSync,
	statSync,
	writeFileSync,
} from "node:fs"
import {join} from "node:path"
import {pid} from "node:process"
import {crc32} from "node:zlib"
import {build} from "esbuild"
import {isNativeUsable, NATIVE} from "./packages.mjs"

/** As in deploy/system.toml: compiled code is refused under other arguments. */
const RUNTIME_ARGS = ["--max-old-space-size=160"]
const FOLDER = "target"
const START = "target/cottonwood.cjs"
const COMPILED = "target/program.compiled"
/** A rehearsal gives up after 15 s. */
const START_MS = 60_000
/** Of the start script: the program can be loaded, without compiled code. */
const EXIT_NOT_COMPILED = 3
const NATIVE_FILE = /^koffi.*\.node$/
/** A file that is being written, by the process whose id ends its name. */
const WRITTEN_FILE = /\.\d+$/
/** A build that takes longer is ended by the platform. */
const BUILD_MS = 900_000

/** As scripts/start.cjs checks it. */
const sumOf = contents => crc32(contents).toString(16).padStart(8, "0")

/**
 * Replaces a file as a whole. Processes that run from the folder have the library mapped, and are ended by a signal when it is
 * written to in place.
 */
function replaceFile(name, contents) {
	const path = join(FOLDER, name)
	const written = `${path}.${pid}`
	writeFileSync(written, contents)
	renameSync(written, path)
}

/** Lays the native library beside the program; returns its name, by which the program loads it. */
function layNative() {
	if (!isNativeUsable()) {
		process.stderr.write("bundle: no native library works here; suspensions will not be counted.\n")
		return "no-native-library"
	}
	const contents = readFileSync(NATIVE)
	const name = `koffi-${sumOf(contents)}.node`
	replaceFile(name, contents)
	return name
}

async function bundleSource(native) {
	const {outputFiles} = await build({
		write: false,
		entryPoints: ["platform/src/main.ts"],
		bundle: true,
		platform: "node",
		target: "node20",
		format: "cjs",
		// A library that is missing or foreign is then an error of the import, which the program handles.
		supported: {"dynamic-import": false},
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
		},
		plugins: [
			{
				name: "native",
				setup: ({onResolve}) =>
					onResolve({filter: /^koffi$/}, () => ({path: `./${native}`, external: true})),
			},
		],
		logLevel: "warning",
	})
	return outputFiles[0].text
}

/** Runs the start script as a deployment does; what a rehearsal logs is of no interest. */
function runStart(argument) {
	return spawnSync(process.execPath, [...RUNTIME_ARGS, START, argument], {
		// Options of the runtime in the user's variables would make compiled code that a deployment refuses.
		env: {PATH: process.env.PATH},
		stdio: ["ignore", "ignore", "inherit"],
		timeout: START_MS,
		killSignal: "SIGKILL",
	}).status
}

/** Returns whether the program can be loaded, with compiled code or, where that can't be made or used, without. */
function compile() {
	runStart("--compile")
	if (runStart("--check") === 0) return true
	rmSync(COMPILED, {force: true})
	return runStart("--check") === EXIT_NOT_COMPILED
}

/** Removes what other builds or other machines left; what a build beside this one is writing stays. */
function removeLeftovers(native) {
	for (const name of readdirSync(FOLDER)) {
		const path = join(FOLDER, name)
		const isOver = WRITTEN_FILE.test(name) && Date.now() - statSync(path).mtimeMs > BUILD_MS
		if (isOver || (NATIVE_FILE.test(name) && name !== native)) rmSync(path, {force: true})
	}
}

// The user who builds need not be the one who runs.
process.umask(0o022)
mkdirSync(FOLDER, {recursive: true})
const native = layNative()
const text = `${await bundleSource(native)}\n//`
replaceFile("program.cjs", `${text}${sumOf(text)}`)
replaceFile("cottonwood.cjs", readFileSync("scripts/start.cjs"))
const isLoadable = compile()
removeLeftovers(native)
process.exit(isLoadable ? 0 : 1)
