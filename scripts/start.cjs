/**
 * Starts the bundled program from its source and from what the runtime compiled of it when it was bundled.
 *
 * Should the runtime refuse the compiled part (another version, other arguments), it compiles the source as
 * usual. `--compile` writes that part, after a rehearsal. In the older module format, since the loader of the newer one costs a
 * start 15 ms.
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

const {existsSync, readFileSync, renameSync, writeFileSync} = require("node:fs")
const {join} = require("node:path")
const {Script} = require("node:vm")

/** Five times what it takes. */
const REHEARSAL_MS = 15_000
const source = join(__dirname, "program.cjs")
const compiled = join(__dirname, "program.compiled")

const text = `(function (require, exports, module) {${readFileSync(source, "utf8")}\n})`
const script = new Script(text, {
	filename: source,
	cachedData: !isCompiling && existsSync(compiled) ? readFileSync(compiled) : undefined,
})
const program = {exports: {}}
script.runInThisContext()(require, program.exports, program)

if (isCompiling) void compile()
else program.exports.main({isCompiledCodeUsed: script.cachedDataRejected === false, earlySignals})

/** Functions are compiled when they are first called, so the program serves some jobs before it is written. */
async function compile() {
	const isOver = new Promise(resolve => setTimeout(resolve, REHEARSAL_MS, "it took too long"))
	const failure = await Promise.race([program.exports.rehearse(), isOver]).catch(err => err.message)
	// A build goes on without: what is not compiled now is compiled when it is needed.
	if (failure) process.stderr.write(`cottonwood: the rehearsal failed: ${failure}\n`)
	// Renamed into place, so that a process that starts meanwhile reads no half of it.
	const written = `${compiled}.${process.pid}`
	writeFileSync(written, script.createCachedData())
	renameSync(written, compiled)
	process.exit(0)
}
