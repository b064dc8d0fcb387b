/**
 * Holds the newest configuration seen in the store or at a peer, and writes operators' changes.
 * A version in force is never replaced by an older one.
 */
import {randomUUID} from "node:crypto"
import {
	DispatchError,
	fail,
	isNewer,
	parseConfig,
	type Clock,
	type Config,
	type VersionedConfig,
} from "@cottonwood/core"
import {err, ok, type Result} from "neverthrow"
import type {Store, StoreItem} from "@cottonwood/core"
import type {Log} from "../utils/log.js"
import type {Metrics} from "../utils/metrics.js"
import {CONFIG_KEY, HISTORY_PREFIX, historyKey} from "./keys.js"

export interface ConfigStore {
	current(): VersionedConfig | undefined
	/** Puts a version in force if it is valid and newer; returns whether it did. */
	applyIfNewer(candidate: VersionedConfig, source: string): boolean
	/**
	 * Writes a new version if the current one is still `expected`. Fails with `config_conflict` when another
	 * change won, and with `config_unknown` when it cannot be known which did.
	 */
	put(
		config: unknown,
		expected: number,
		author: string,
	): Promise<Result<VersionedConfig, DispatchError>>
	/** Returns all past versions and the current one; fails when the store does not answer. */
	history(): Promise<Result<readonly VersionedConfig[], DispatchError>>
	/** Returns how long the current version has been in force on this instance; 0 without one. */
	inForceMs(): number
}

export interface ConfigStoreDeps {
	readonly store: Store
	readonly clock: Clock
	readonly log: Log
	readonly metrics: Metrics
	readonly onChange: (config: Config) => void
}

const MAX_PUT_ATTEMPTS = 6
const PUT_PAUSE_MS = 150

export function createConfigStore(deps: ConfigStoreDeps): ConfigStore {
	const {store, clock} = deps
	let current: VersionedConfig | undefined
	let inForceSince = 0

	function applyIfNewer(candidate: VersionedConfig, source: string): boolean {
		if (!isNewer(candidate, current)) return false
		const checked = parseConfig(candidate.config)
		if (checked.isErr()) {
			deps.log.error(`Version ${candidate.version} is refused: ${checked.error.detail}.`)
			return false
		}
		current = {...candidate, config: checked.value}
		inForceSince = clock.now()
		deps.metrics.gauge("config.version", candidate.version)
		deps.log.info(
			`Version ${candidate.version} by ${candidate.author} is in force, from ${source}.`,
		)
		deps.onChange(checked.value)
		return true
	}

	/** Copies the current version to the history; false when the store does not confirm it. */
	async function archive(item: StoreItem): Promise<boolean> {
		const value = item.value as VersionedConfig
		for (let attempt = 0; attempt < MAX_PUT_ATTEMPTS; attempt++) {
			const kept = await store.put(historyKey(value.version), value, {expect: 0})
			if (kept.type === "done" || kept.type === "conflict") return true
			deps.metrics.count("retry.config_archive")
			await clock.sleep(PUT_PAUSE_MS)
		}
		return false
	}

	function conflict(winner: VersionedConfig): DispatchError {
		const when = new Date(winner.at).toISOString()
		return new DispatchError(
			"config_conflict",
			`version ${winner.version} by ${winner.author} at ${when} won; read it and decide again`,
		)
	}

	/** Reads from the store whether a write of unknown outcome won; `open` when it cannot tell. */
	async function resolveWrite(mine: VersionedConfig): Promise<"accepted" | "open" | DispatchError> {
		const item = await store.get(CONFIG_KEY)
		if (item === undefined) return "open"
		const present = item?.value as VersionedConfig | undefined
		if (present?.nonce === mine.nonce) return "accepted"
		if (!present || present.version < mine.version) return "open"
		if (present.version === mine.version) return conflict(present)
		const kept = await store.get(historyKey(mine.version))
		if (kept === undefined) return "open"
		return (kept?.value as VersionedConfig | undefined)?.nonce === mine.nonce
			? "accepted"
			: conflict(present)
	}

	/** Retries one compare-and-swap until its outcome is known. */
	async function write(mine: VersionedConfig, revision: number) {
		for (let attempt = 0; attempt < MAX_PUT_ATTEMPTS; attempt++) {
			const result = await store.put(CONFIG_KEY, mine, {expect: revision})
			if (result.type === "done") return ok(mine)
			const verdict = await resolveWrite(mine)
			if (verdict === "accepted") return ok(mine)
			if (verdict !== "open") return err(verdict)
			deps.metrics.count("retry.config_put")
			await clock.sleep(PUT_PAUSE_MS)
		}
		return fail<VersionedConfig>("config_unknown", "read the configuration before another change")
	}

	return {
		current: () => current,
		applyIfNewer,
		async put(raw, expected, author) {
			const checked = parseConfig(raw)
			if (checked.isErr()) return err(checked.error)
			const item = await store.get(CONFIG_KEY)
			if (item === undefined) {
				return fail("store_unavailable", "the change was not made", {ran: "not run"})
			}
			const present = item?.value as VersionedConfig | undefined
			if ((present?.version ?? 0) !== expected) {
				return present
					? err(conflict(present))
					: fail("config_conflict", "there is no configuration yet; expected version 0")
			}
			if (item && !(await archive(item))) {
				return fail("store_unavailable", "the change was not made", {ran: "not run"})
			}
			const mine: VersionedConfig = {
				version: expected + 1,
				nonce: randomUUID(),
				author,
				at: clock.wallNow(),
				config: checked.value,
			}
			const written = await write(mine, item?.revision ?? 0)
			if (written.isOk()) applyIfNewer(mine, "an operator here")
			return written
		},
		async history() {
			const listed = await store.list(HISTORY_PREFIX)
			if (!listed) return fail("store_unavailable", "the history is in the store")
			const past = listed.items.map(item => item.value as VersionedConfig)
			const isKept = past.some(item => item.version === current?.version)
			return ok(current && !isKept ? [...past, current] : past)
		},
		inForceMs: () => (current ? clock.now() - inForceSince : 0),
	}
}
