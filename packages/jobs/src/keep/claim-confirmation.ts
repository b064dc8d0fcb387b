/**
 * Confirms from the store, again and again, that a placer still holds its claim while it has kept jobs.
 *
 * No caller bounds the runs of kept jobs, and a placer that is cut off cannot learn that another failure domain took its jobs
 * over. So its kept runs go on for a limited time after the last confirmation (`decide/lease-rule.ts`), and a successor that
 * cannot reach their executors waits for as long. A confirmation counts from when its call was sent: the claim was still in
 * force when the store handled the call.
 */
import type {Clock, Store} from "@cottonwood/core"
import type {EventLog} from "../utils/log.js"
import type {ClaimRevision} from "./ledger.js"
import {endOnFailure} from "../utils/keep-going.js"

/** Age at which a confirmation is renewed; writes of records renew it too. */
const RENEW_MS = 500
/** Reads go beside unanswered ones, so that the store's return is noticed within this time. */
const CHECK_MS = 250
/** A confirmation that the store withholds for this long is logged, once. */
const OVERDUE_MS = 2_000

export interface ClaimConfirmationDeps {
	readonly clock: Clock
	readonly store: Store
	readonly log: EventLog
	readonly failureDomain: string
	readonly claimRevision: ClaimRevision
	/** When the read of `claimRevision` was sent, in milliseconds on the monotonic clock. */
	readonly readAt: number
	/** Whether the placer has kept jobs. */
	readonly isNeeded: () => boolean
	/** Called when the store has another claim. */
	readonly onDeposed: () => void
}

export interface ClaimConfirmation {
	/** Takes a call that the store carried out under this claim, by when it was sent. */
	note(sentAt: number): void
	/** Reads the claim now, unless it was confirmed just before. */
	renew(): void
	/** The time as of which the claim was certainly in force, in milliseconds on the monotonic clock. */
	confirmedAt(): number
	close(): void
}

export function startClaimConfirmation(deps: ClaimConfirmationDeps): ClaimConfirmation {
	const {clock, store, log, failureDomain, claimRevision} = deps
	let confirmedAt = deps.readAt
	/** When the first read since the last confirmation was sent. */
	let askedAt: number | undefined
	let isOverdue = false
	let isClosed = false

	function note(sentAt: number) {
		confirmedAt = Math.max(confirmedAt, sentAt)
		const waitedMs = Math.round(clock.now() - (askedAt ?? sentAt))
		askedAt = undefined
		if (!isOverdue) return
		isOverdue = false
		const message = "placer: the store confirms its claim again."
		log.event("placer", "claim_confirmed", message, {failureDomain, waitedMs})
	}

	async function read() {
		const sentAt = clock.now()
		askedAt ??= sentAt
		const item = await store.get(claimRevision.key)
		if (isClosed || item === undefined) return
		if (item?.revision === claimRevision.revision) return note(sentAt)
		isClosed = true
		deps.onDeposed()
	}

	function noteOverdue() {
		if (isOverdue || askedAt === undefined || clock.now() - askedAt < OVERDUE_MS) return
		isOverdue = true
		const message = "placer: the store does not confirm its claim."
		log.event("placer", "claim_unconfirmed", message, {failureDomain})
	}

	function renew() {
		if (clock.now() - confirmedAt < RENEW_MS) return
		noteOverdue()
		endOnFailure(read())
	}

	async function loop() {
		while (!isClosed) {
			await clock.sleep(CHECK_MS)
			if (!isClosed && deps.isNeeded()) renew()
		}
	}

	endOnFailure(loop())
	return {
		note,
		renew,
		confirmedAt: () => confirmedAt,
		close() {
			isClosed = true
		},
	}
}
