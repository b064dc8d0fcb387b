/**
 * Instances run from a bundle with a damaged, foreign or missing part. Guards against processes that end by a signal, or don't
 * start, for a part that only makes a start faster or a clock better.
 */
import {
	startEdges,
	startLeasedPlatform,
	type Edge,
	type EdgeFleet,
	type LeasedPlatform,
} from "@cottonwood/standins"
import {expect} from "chai"
import {spawnSync} from "node:child_process"
import {
	cpSync,
	mkdtempSync,
	readdirSync,
	readFileSync,
	rmSync,
	truncateSync,
	writeFileSync,
} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {arch, version} from "node:process"
import {setTimeout as sleep} from "node:timers/promises"
import {request} from "undici"

/** As in the deploy file; the runtime refuses compiled code under others. */
const RUNTIME_ARGS = ["--max-old-space-size=160"]
const LINE_POLL_MS = 10
const ZEROS = 4_096
/** Where an ELF file names its kind of machine. */
const ELF_MACHINE_AT = 18
const ELF_MACHINE_OTHER = 0xf3

function zeroMiddle(path: string) {
	const contents = readFileSync(path)
	const at = Math.floor(contents.length / 2)
	writeFileSync(path, contents.fill(0, at, at + ZEROS))
}

function replaceLast(path: string, text: string, by: string) {
	const contents = readFileSync(path)
	const at = contents.lastIndexOf(text)
	if (at >= 0) contents.write(by, at, "latin1")
	writeFileSync(path, contents)
}

function makeForeign(path: string) {
	const contents = readFileSync(path)
	contents.writeUInt16LE(ELF_MACHINE_OTHER, ELF_MACHINE_AT)
	writeFileSync(path, contents)
}

const COMPILED_DAMAGE: Readonly<Record<string, (path: string) => void>> = {
	"has lost a block": zeroMiddle,
	"was cut short": path => truncateSync(path, 500_000),
	"is missing": path => rmSync(path),
	"is of another machine": path => replaceLast(path, arch, arch === "x64" ? "z64" : "other"),
	"is of another runtime": path => replaceLast(path, version, "v99.0.0"),
}

const LIBRARY_DAMAGE: Readonly<Record<string, (path: string) => void>> = {
	"is missing": path => rmSync(path),
	"was cut short": path => truncateSync(path, 300_000),
	"is empty": path => truncateSync(path),
	"has lost a block": zeroMiddle,
	"is of another machine": makeForeign,
}

/** The line that an instance writes once it serves; lines arrive some time after they are written. */
async function startedLine(edge: Edge) {
	for (;;) {
		const line = edge.lines.find(({kind}) => kind === "started")
		if (line) return line
		await sleep(LINE_POLL_MS)
	}
}

describe("a damaged bundle", () => {
	let made: string
	let folder: string
	let platform: LeasedPlatform
	let fleet: EdgeFleet | undefined

	before(async () => {
		expect(spawnSync(process.execPath, ["scripts/bundle.mjs"]).status).to.equal(0)
		made = mkdtempSync(join(tmpdir(), "cottonwood-damaged-"))
		cpSync("target", made, {recursive: true})
		platform = await startLeasedPlatform({failureDomains: ["a"], executorsPerDomain: 1})
		platform.putConfig(1)
	})

	after(async () => {
		await platform.close()
		rmSync(made, {recursive: true, force: true})
	})

	beforeEach(() => {
		folder = mkdtempSync(join(tmpdir(), "cottonwood-damaged-"))
		cpSync(made, folder, {recursive: true})
	})

	afterEach(async () => {
		await fleet?.close()
		fleet = undefined
		rmSync(folder, {recursive: true, force: true})
	})

	/** Starts an instance and waits until it is ready; returns what it says of its start. */
	async function serve() {
		fleet = await startEdges(platform, [["a-1", "a"]], {
			program: join(folder, "cottonwood.cjs"),
			nodeArgs: RUNTIME_ARGS,
		})
		const edge = fleet.edges[0] as Edge
		const res = await request(`http://${edge.readiness}/metrics`)
		const metrics = await res.body.text()
		const counts = (reason: string) =>
			metrics.includes(`cottonwood_broken_assumptions{reason="${reason}"} 1`)
		return {counts, detail: (await startedLine(edge))["detail"]}
	}

	it("serves with all its parts, and reports nothing", async () => {
		const {counts, detail} = await serve()
		expect([detail, counts("compiled_code"), counts("boot_clock")]).to.eql([
			undefined,
			false,
			false,
		])
	})

	for (const [name, damage] of Object.entries(COMPILED_DAMAGE)) {
		it(`serves where the compiled code ${name}, and says so`, async () => {
			damage(join(folder, "program.compiled"))
			const {counts, detail} = await serve()
			expect(detail).to.match(/^the compiled code /)
			expect(counts("compiled_code")).to.equal(true)
		})
	}

	for (const [name, damage] of Object.entries(LIBRARY_DAMAGE)) {
		it(`serves where the native library ${name}, and says so`, async () => {
			const libraries = readdirSync(folder).filter(file => file.endsWith(".node"))
			expect(libraries).not.to.eql([])
			for (const library of libraries) damage(join(folder, library))
			expect((await serve()).counts("boot_clock")).to.equal(true)
		})
	}
})
