/**
 * Starts the bundled program from its source and from what the runtime compiled of it when it was bundled.
 *
 * Each part is checked before it is used: the runtime runs damaged compiled code, or that of another source, and a library that
 * was cut short ends the process. Without compiled code that can be used, the source is compiled as usual. `--compile` writes
 * the compiled code, after a rehearsal; `--check` loads the program and ends, with 0 if its compiled code is used, 3 if not, and
 * 1 if the program can't be loaded. In the older module format, since the loader of the newer one costs a start 15 ms.
 */
const COMPILE = "--compile"
const isCompiling = process.argv[2] === COMPILE

/**
 * Until a handler is set, these signals end the process. So it is set before anything is loaded; the program sets `notify` once it
 * can act on them.
 */
const earlySignals = {received: [], notify: undefined}
const note = signal =>
	earlySignals.notify ? earlySignals.notify(signal) : earlySignals.received.push(signal)
if (!isCompiling) for (const signal of ["SIGHUP", "SIGINT", "SIGTERM"]) process.on(signal, note)

const {Buffer} = require("node:buffer")
const {readFileSync, renameSync, writeFileSync} = require("node:fs")
const {join} = require("node:path")
const {Script} = require("node:vm")
const {crc32} = require("node:zlib")

const CHECK = "--check"
/** Five times what it takes. */
const REHEARSAL_MS = 15_000
const EXIT_START_FAILED = 1
const EXIT_NOT_COMPILED = 3
/** Hexadecimal digits of a checksum. */
const SUM_CHARS = 8
/** The kind of machine and runtime that compiled code is for; the runtime itself compares its arguments. */
const MACHINE = `${process.version} ${process.platform} ${process.arch}`
const source = join(__dirname, "program.cjs")
const compiled = join(__dirname, "program.compiled")

const sumOf = contents => crc32(contents).toString(16).padStart(SUM_CHARS, "0")

/** Reads the source, which ends with the checksum of all before it; throws when it is damaged. */
function readSource() {
	const contents = readFileSync(source)
	const sum = sumOf(contents.subarray(0, -SUM_CHARS))
	if (contents.toString("latin1", contents.length - SUM_CHARS) !== sum)
		throw new Error("it is not as it was built; build it again")
	// Decoded as ASCII, so long a text would be kept outside of the heap, and the runtime would collect garbage sooner.
	return {text: contents.toString("utf8"), sum}
}

/** The last line of the compiled code. */
const sealOf = (code, sourceSum) => `\n${sumOf(code)} ${sourceSum} ${MACHINE}`

/** Returns what was compiled of the source on such a machine, or why there is none that can be used. */
function readCompiled(sourceSum) {
	let contents
	try {
		contents = readFileSync(compiled)
	} catch (err) {
		return {refusal: `can't be read (${err.code})`}
	}
	const code = contents.subarray(0, Math.max(contents.lastIndexOf("\n"), 0))
	const seal = contents.toString("latin1", code.length)
	if (seal === sealOf(code, sourceSum)) return {code}
	if (!seal.startsWith(`\n${sumOf(code)} `)) return {refusal: "is damaged"}
	return {
		refusal: seal.endsWith(` ${MACHINE}`)
			? "is of another source"
			: "is of another machine or runtime",
	}
}

/** Loads a module for the program; a native library, whose name ends with its checksum, only when it is whole. */
function requireWhole(name) {
	const sum = /-([0-9a-f]{8})\.node$/.exec(name)?.[1]
	if (sum !== undefined && sumOf(readFileSync(join(__dirname, name))) !== sum)
		throw new Error(`${name} is not as it was built`)
	return require(name)
}

/** Loads the program; `refusal` says why its compiled code is not used. */
function load() {
	const {text, sum} = readSource()
	const {code, refusal} = isCompiling ? {} : readCompiled(sum)
	const wrapped = `(function (require, exports, module) {${text}\n})`
	const script = new Script(wrapped, {filename: source, cachedData: code})
	const program = {exports: {}}
	script.runInThisContext()(requireWhole, program.exports, program)
	const isRefused = script.cachedDataRejected === true
	return {program, script, sum, refusal: isRefused ? "was refused by the runtime" : refusal}
}

/** Functions are compiled when they are first called, so the program serves some jobs before it is written. */
async function compile({program, script, sum}) {
	const isOver = new Promise(resolve => setTimeout(resolve, REHEARSAL_MS, "it took too long"))
	const hasCrashed = new Promise((_, reject) => process.on("uncaughtException", reject))
	const rehearsal = Promise.race([program.exports.rehearse(), isOver, hasCrashed])
	const failure = await rehearsal.catch(err => err.message)
	// A build goes on without: what is not compiled now is compiled when it is needed.
	if (failure) process.stderr.write(`cottonwood: the rehearsal failed: ${failure}\n`)
	// Renamed into place, so that a process that starts meanwhile reads no half of it.
	const written = `${compiled}.${process.pid}`
	const code = script.createCachedData()
	writeFileSync(written, Buffer.concat([code, Buffer.from(sealOf(code, sum), "latin1")]))
	renameSync(written, compiled)
	process.exit(0)
}

function check({refusal}) {
	if (refusal) process.stderr.write(`cottonwood: the compiled code ${refusal}\n`)
	process.exit(refusal ? EXIT_NOT_COMPILED : 0)
}

function start() {
	let loaded
	try {
		loaded = load()
	} catch (err) {
		process.stderr.write(`cottonwood: ${source} can't be run: ${err.message}\n`)
		process.exit(EXIT_START_FAILED)
	}
	if (isCompiling) void compile(loaded)
	else if (process.argv[2] === CHECK) check(loaded)
	else loaded.program.exports.main({compiledCodeRefusal: loaded.refusal, earlySignals})
}

start()
