/**
 * Tells whether the installed packages are those of the lock file and work on this machine, and installs them anew.
 */
import {spawnSync} from "node:child_process"
import {readFileSync, rmSync} from "node:fs"
import {join} from "node:path"
import {arch, platform} from "node:process"
import {hold, release} from "./hold.mjs"

const LOCK = "package-lock.json"
/** Written by npm at the end of an installation. */
const INSTALLED = "node_modules/.package-lock.json"
const PROBE_MS = 30_000
/** Stated, since the user's own options may leave out packages, or choose those of another kind of machine. */
const KIND = ["--include=dev", "--include=optional", `--os=${platform}`, `--cpu=${arch}`]
const INSTALL = ["ci", ...KIND, "--loglevel=error", "--no-progress", "--no-update-notifier"]
/** For when the user's cache is missing, damaged or read-only. */
const OWN_CACHE = "target/npm-cache"
/** Held by the build that installs. */
const INSTALLING = "target/installing"

/** The library that calls the C library, built for this kind of machine. */
export const NATIVE = `./node_modules/@koromix/koffi-${platform}-${arch}/${platform}_${arch}/koffi.node`

/** Run as processes of their own, since a damaged binary may end the one that uses it. */
const USE_BUNDLER = `await (await import("esbuild")).transform("1"); process.exit(0)`
const USE_NATIVE = `process.dlopen({exports: {}}, ${JSON.stringify(NATIVE)})`

function readJson(path) {
	try {
		return JSON.parse(readFileSync(path, "utf8"))
	} catch {
		return undefined
	}
}

/** Returns whether a package is there as the lock file has it; links lead to folders of the repository. */
function isInstalled(path, wanted, installed) {
	if (installed?.version !== wanted.version || installed?.integrity !== wanted.integrity)
		return false
	const found = readJson(join(path, "package.json"))
	return wanted.link ? found !== undefined : found?.version === wanted.version
}

/** Optional packages need not be there: most are for other kinds of machine. */
function findWrongPackage() {
	const installed = readJson(INSTALLED)?.packages
	if (!installed) return "no whole installation"
	for (const [path, wanted] of Object.entries(readJson(LOCK)?.packages ?? {})) {
		if (!path.includes("node_modules/") || (wanted.optional && !installed[path])) continue
		if (!isInstalled(path, wanted, installed[path])) return `${path} is not as the lock file has it`
	}
	return undefined
}

function runs(program) {
	const args = ["--input-type=module", "--eval", program]
	return spawnSync(process.execPath, args, {stdio: "ignore", timeout: PROBE_MS}).status === 0
}

/** Whether the native library is there, whole and for this kind of machine. */
export function isNativeUsable() {
	return runs(USE_NATIVE)
}

function findBrokenBinary() {
	if (!runs(USE_BUNDLER)) return "the bundler does not work on this machine"
	if (!isNativeUsable()) return "the native library does not work on this machine"
	return undefined
}

/** Says what keeps the installed packages from being used; undefined when nothing does. */
export function findFault() {
	return findWrongPackage() ?? findBrokenBinary()
}

function installHere() {
	for (const cache of [[], ["--cache", OWN_CACHE]]) {
		spawnSync("npm", [...INSTALL, ...cache], {stdio: ["ignore", 2, 2]})
		if (!findFault()) break
	}
	rmSync(OWN_CACHE, {recursive: true, force: true})
}

/**
 * Installs the packages of the lock file for this kind of machine, unless nothing that can be found is wrong with them any more and
 * `isNeeded` does not say otherwise; returns what is still wrong.
 */
export async function install(isNeeded = false) {
	await hold(INSTALLING)
	try {
		if (isNeeded || findFault()) installHere()
		return findFault()
	} finally {
		release(INSTALLING)
	}
}
