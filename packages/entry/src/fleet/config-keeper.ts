/**
 * The operators' configuration as this instance knows it: the newest version from the store or
 * from a peer. A version that is in force is never replaced by an older one.
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

export interface ConfigKeeper {
	current(): VersionedConfig | undefined
	/** Takes a version from any source if it is newer; returns whether it is now in force. */
	offer(candidate: VersionedConfig, source: string): boolean
	/** Changes the configuration if its version is still `expected`. */
	put(
		config: unknown,
		expected: number,
		author: string,
	): Promise<Result<VersionedConfig, DispatchError>>
	history(): Promise<Result<readonly VersionedConfig[], DispatchError>>
	/** Milliseconds for which the version has been in force here. */
	inForceMs(): number
}

export interface ConfigKeeperDeps {
	readonly store: Store
	readonly clock: Clock
	readonly log: Log
	readonly metrics: Metrics
	readonly onChange: (config: Config) => void
}

const PUT_TRIES = 6
const PUT_PAUSE_MS = 150

export function createConfigKeeper(deps: ConfigKeeperDeps): ConfigKeeper {
	const {store, clock} = deps
	let current: VersionedConfig | undefined
	let inForceSince = 0

	function offer(candidate: VersionedConfig, source: string): boolean {
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

	/** Keeps the present version in the history before another replaces it. */
	async function archive(item: StoreItem): Promise<boolean> {
		const value = item.value as VersionedConfig
		for (let attempt = 0; attempt < PUT_TRIES; attempt++) {
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

	/** Decides a write by what the store holds now. */
	async function judge(mine: VersionedConfig): Promise<"accepted" | "open" | DispatchError> {
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

	/** Repeats one compare-and-swap until it is known who won. */
	async function write(mine: VersionedConfig, revision: number) {
		for (let attempt = 0; attempt < PUT_TRIES; attempt++) {
			const result = await store.put(CONFIG_KEY, mine, {expect: revision})
			if (result.type === "done") return ok(mine)
			const verdict = await judge(mine)
			if (verdict === "accepted") return ok(mine)
			if (verdict !== "open") return err(verdict)
			deps.metrics.count("retry.config_put")
			await clock.sleep(PUT_PAUSE_MS)
		}
		return fail<VersionedConfig>("config_unknown", "read the configuration before another change")
	}

	return {
		current: () => current,
		offer,
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
			if (written.isOk()) offer(mine, "an operator here")
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
