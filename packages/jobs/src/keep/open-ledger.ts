/**
 * Opens a placer's ledger under the revision of its claim, with the confirmation that the claim is still in force.
 */
import {claimKey, isClaim} from "../fleet/members.js"
import type {Claim} from "../types/fleet.js"
import {startClaimConfirmation, type ClaimConfirmation} from "./claim-confirmation.js"
import {createLedger, type ClaimRevision, type Ledger, type LedgerDeps} from "./ledger.js"
import type {OpenJobs} from "./open-jobs.js"

export interface OpenLedgerDeps extends Omit<
	LedgerDeps,
	"writer" | "claimRevision" | "onClaimConfirmed"
> {
	readonly claim: Claim
	readonly jobs: Pick<OpenJobs, "count">
}

export interface OpenLedger {
	readonly ledger: Ledger
	readonly confirmation: ClaimConfirmation
}

/** Resolves with undefined if the claim cannot be read or has changed. */
export async function openLedger(deps: OpenLedgerDeps): Promise<OpenLedger | undefined> {
	const {clock, claim} = deps
	const {failureDomain, placer, fence} = claim
	const readAt = clock.now()
	const claimRevision = await readClaim(deps)
	if (!claimRevision) return undefined
	/** Ends that were not written stay with their executors, for the next placer. */
	function onDeposed() {
		ledger.close()
		confirmation.close()
		deps.onDeposed()
	}
	const common = {...deps, claimRevision, onDeposed}
	const isNeeded = () => deps.jobs.count() > 0
	const confirmation = startClaimConfirmation({...common, failureDomain, readAt, isNeeded})
	const ledger = createLedger({
		...common,
		writer: `${placer.session}:${fence}`,
		onClaimConfirmed: confirmation.note,
	})
	return {ledger, confirmation}
}

/** Reads the revision of the claim; undefined if it cannot be read or has changed. */
async function readClaim({
	store,
	claim,
	onDeposed,
}: OpenLedgerDeps): Promise<ClaimRevision | undefined> {
	const key = claimKey(claim.failureDomain)
	const item = await store.get(key)
	if (!item || !isClaim(item.value)) return undefined
	const {fence, placer} = item.value
	if (fence === claim.fence && placer.session === claim.placer.session)
		return {key, revision: item.revision}
	onDeposed()
	return undefined
}
