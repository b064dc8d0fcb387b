/**
 * The owner of submissions: decides whether each is started, joined or refused, and keeps its
 * outcome.
 *
 * The rules that keep a task from starting twice:
 * - work that is not repeatable starts only after its intent is durable in the journal;
 * - a known key joins its entry and never starts again;
 * - a key whose intent is in an inherited journal may have run, so it is never started here;
 * - a refusal as `not run` closes the key, and is returned only once the closing is durable.
 */
import type {Result} from "neverthrow"
import type {Cancellation} from "../utils/cancellation.js"
import type {Clock} from "../utils/clock.js"
import type {DispatchError, ErrorKind} from "../utils/errors.js"
import {addJitterMs} from "../utils/backoff.js"
import type {JournalRecord} from "../types/types-internal.js"
import type {Outcome, SessionId, Submission, SubmissionKey} from "../types/types-external.js"
import type {Explainer} from "./explain.js"
import {creationTimeOf, splitKey} from "./ids.js"
import type {Journal} from "./journal.js"
import {failure, keptOutcome, outcomeOf} from "./outcomes.js"
import {shardOf} from "./ownership.js"
import {createSubmissionTable, finish, type Entry, type EntryState} from "./submission-table.js"

/** After this long without a definite answer of the store, new intents are refused at once. */
export const STORE_STALL_MS = 1_500
const STORE_RETRY_MS = 2_000

export interface OwnerDeps {
	readonly clock: Clock
	readonly random: () => number
	readonly isOwned: (shard: number) => boolean
	readonly journal: () => Journal
	/** Runs the work; called at most once per key. */
	readonly execute: (submission: Submission, cancellation: Cancellation) => Promise<Outcome>
	/** Returns an error for a submission that must not be queued. */
	readonly admit: (submission: Submission) => Result<void, DispatchError>
	/** Asks an earlier session for the outcome of an inherited submission; undefined when unknown. */
	readonly askPastOwner: (session: SessionId, key: SubmissionKey) => Promise<Outcome | undefined>
	readonly retentionMs: () => number
	readonly explainer: Explainer
	readonly count: (name: string) => void
	/** Test hook: with `false`, work starts before its intent is durable. */
	readonly guards?: {readonly intentFirst: boolean}
}

export interface Owner {
	/** Runs a submission, or joins the run of an earlier copy; resolves with the outcome. */
	submit(submission: Submission): Promise<Outcome>
	/** Returns the state and the promised outcome of a key; undefined when the key is unknown. */
	find(
		key: SubmissionKey,
	): {readonly state: EntryState; readonly settled: Promise<Outcome>} | undefined
	/**
	 * Cancels a submission; resolves with its outcome, or undefined when it is unknown or inherited.
	 */
	cancel(key: SubmissionKey): Promise<Outcome | undefined>
	/** Adds the records of a sealed or handed-over journal for the given shards. */
	inherit(session: SessionId, records: readonly JournalRecord[], shards: ReadonlySet<number>): void
	/** Resolves when no submission runs. */
	whenIdle(): Promise<void>
	size(): number
	list(limit: number): readonly {readonly key: SubmissionKey; readonly state: EntryState}[]
}

/**
 * Creates the owner of one instance's submissions.
 *
 * @example const outcome = await owner.submit(submission)
 */
export function createOwner(deps: OwnerDeps): Owner {
	const {clock, explainer} = deps
	const table = createSubmissionTable(clock.now)
	const idleWaiters: (() => void)[] = []
	let running = 0

	function stalledOutcome(): Outcome {
		deps.count("refusal.store_unavailable")
		return failure("store_unavailable", "the intent could not be made durable", {
			retryAfterMs: addJitterMs(STORE_RETRY_MS, deps.random),
		})
	}

	function expiredOutcome(key: SubmissionKey): Outcome | undefined {
		const createdAt = creationTimeOf(splitKey(key).id)
		if (createdAt === undefined || clock.wallNow() - createdAt < deps.retentionMs())
			return undefined
		deps.count("refusal.id_expired")
		return failure("id_expired", "ids are kept for the retention time; use a new one")
	}

	/** Waits for the outcome of an entry, or until the write of its intent stalls. */
	async function waitFor(entry: Entry): Promise<Outcome> {
		entry.waiters++
		try {
			for (;;) {
				if (entry.state !== "pending") return await entry.settled
				const leftMs = STORE_STALL_MS - deps.journal().stalledMs()
				if (leftMs <= 0) return stalledOutcome()
				let cancel: (() => void) | undefined
				const timeout = new Promise<void>(resolve => (cancel = clock.schedule(leftMs, resolve)))
				await Promise.race([entry.settled, timeout])
				cancel?.()
			}
		} finally {
			entry.waiters--
		}
	}

	async function refuse(submission: Submission, error: DispatchError): Promise<Outcome> {
		const {key, digest, repeatable} = submission.head
		const outcome = outcomeOf(error)
		deps.count(`refusal.${error.kind}`)
		explainer.add(key, "refused", error.detail)
		if (repeatable) return outcome
		const entry = table.add(key, digest, "pending")
		void deps
			.journal()
			.append({type: "closed", key, outcome})
			.then(durable => {
				if (durable.isOk()) return finish(entry, "closed", outcome)
				table.drop(key, entry, outcomeOf(durable.error))
			})
		return waitFor(entry)
	}

	async function run(submission: Submission, entry: Entry) {
		const {key, repeatable} = submission.head
		entry.state = "running"
		running++
		const outcome = await deps
			.execute(submission, entry.cancellation)
			.catch((error: unknown) => failure("internal", String(error)))
		running--
		finish(entry, "done", outcome)
		explainer.add(key, "answered", outcome.ok ? "complete" : `${outcome.kind}: ${outcome.detail}`)
		if (!repeatable) deps.journal().appendLazily({type: "done", key, outcome: keptOutcome(outcome)})
		if (running === 0) for (const wake of idleWaiters.splice(0)) wake()
	}

	/** Closes a submission that is not started although its intent is durable. */
	function closeUnstarted(submission: Submission, entry: Entry, kind: ErrorKind, detail: string) {
		const {key} = submission.head
		const outcome = failure(kind, detail, {ran: "not run"})
		finish(entry, "closed", outcome)
		explainer.add(key, "refused", detail)
		deps.journal().appendLazily({type: "closed", key, outcome})
	}

	async function journalIntentAndRun(submission: Submission, entry: Entry) {
		const {key, digest, deadlineAt} = submission.head
		const durable = await deps.journal().append({type: "intent", key, digest})
		if (durable.isErr()) {
			return table.drop(key, entry, outcomeOf(durable.error))
		}
		explainer.add(key, "intended", "the intent is durable in the journal")
		if (entry.cancellation.isCancelled())
			return closeUnstarted(submission, entry, "cancelled", "cancelled before the start")
		if (entry.waiters === 0) {
			entry.state = "parked"
			return
		}
		if (deadlineAt <= clock.now())
			return closeUnstarted(submission, entry, "deadline_unreachable", "the intent took too long")
		await run(submission, entry)
	}

	function join(submission: Submission, entry: Entry): Promise<Outcome> {
		const {key, digest} = submission.head
		if (entry.digest !== "" && entry.digest !== digest) {
			deps.count("refusal.id_reused")
			return Promise.resolve(failure("id_reused", "the id was used with another body"))
		}
		deps.count("joined")
		explainer.add(key, "joined", `the submission is ${entry.state}`)
		if (entry.state === "inherited") return resolveInherited(key, entry)
		// Not started yet, and no other session starts a key whose intent is in this journal.
		if (entry.state === "parked") void run(submission, entry)
		return waitFor(entry)
	}

	async function resolveInherited(key: SubmissionKey, entry: Entry): Promise<Outcome> {
		const outcome = entry.past ? await deps.askPastOwner(entry.past, key) : undefined
		if (entry.state !== "inherited") return entry.settled
		if (outcome === undefined) {
			return failure("outcome_unknown", "an earlier owner may have run it; its answer is lost")
		}
		finish(entry, "done", outcome)
		return outcome
	}

	return {
		async submit(submission) {
			const {key, digest, repeatable} = submission.head
			if (!deps.isOwned(shardOf(key))) return failure("moved", "another instance owns the shard")
			table.evict(deps.retentionMs())
			const known = table.get(key)
			if (known) return join(submission, known)
			const expired = expiredOutcome(key)
			if (expired) return expired
			const isStalled = deps.journal().stalledMs() >= STORE_STALL_MS
			if (isStalled && !repeatable) return stalledOutcome()
			const admitted = deps.admit(submission)
			if (admitted.isErr()) return refuse(submission, admitted.error)
			explainer.add(key, "admitted", `by the owner of shard ${shardOf(key)}`)
			const entry = table.add(key, digest, "pending")
			if (repeatable) void run(submission, entry)
			else if (deps.guards?.intentFirst === false) {
				deps.journal().appendLazily({type: "intent", key, digest})
				void run(submission, entry)
			} else void journalIntentAndRun(submission, entry)
			return waitFor(entry)
		},
		find(key) {
			const entry = table.get(key)
			return entry && {state: entry.state, settled: entry.settled}
		},
		async cancel(key) {
			const entry = table.get(key)
			if (!entry || entry.state === "inherited") return undefined
			if (entry.outcome) return entry.outcome
			explainer.add(key, "cancelled", `while ${entry.state}`)
			deps.count("cancelled")
			entry.cancellation.cancel()
			if (entry.state === "parked") {
				finish(
					entry,
					"closed",
					failure("cancelled", "cancelled before the start", {ran: "not run"}),
				)
			}
			return waitFor(entry)
		},
		inherit(session, records, shards) {
			for (const record of records) {
				if (!shards.has(shardOf(record.key))) continue
				const known = table.get(record.key)
				if (record.type === "intent") {
					if (!known) table.add(record.key, record.digest, "inherited").past = session
					continue
				}
				if (known && known.state !== "inherited") continue
				if (record.type === "done" && record.outcome === "too large") continue
				const entry = known ?? table.add(record.key, "", "inherited")
				finish(entry, record.type, record.outcome as Outcome)
			}
		},
		whenIdle: () =>
			running === 0 ? Promise.resolve() : new Promise(resolve => idleWaiters.push(resolve)),
		size: table.size,
		list: table.newest,
	}
}
