/**
 * Keeps this instance's entry in the store under a lease.
 *
 * An unanswered write may still be carried out seconds later if its condition holds. So each write
 * is conditional on the revision known when it was sent, and a late one changes nothing once
 * another was done.
 */
import type {Clock, Store} from "@cottonwood/core"
import type {Member} from "../types/fleet.js"
import {shortSession, type EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import {isMember, memberKey} from "./members.js"
import {keepGoing} from "../utils/keep-going.js"

/** Survives two lost renewals; a dead instance is forgotten in seconds. */
const LEASE_MS = 3_000
const RENEW_MS = 900
const RETRY_MS = 400

export interface Registration {
	/** Removes the entry. */
	end(): Promise<void>
}

export interface RegistrationDeps {
	readonly clock: Clock
	readonly store: Store
	readonly log: EventLog
	readonly metrics: Pick<JobMetrics, "count">
}

export function beginRegistration(
	self: Member,
	{clock, store, log, metrics}: RegistrationDeps,
): Registration {
	let isFirstWrite = true
	let lease: string | undefined
	let isEnded = false

	/**
	 * The entry's revision as far as known, 0 for none; undefined when it cannot be read, which
	 * makes the write unconditional.
	 */
	let knownRevision: number | undefined = 0

	/** An entry that stands at the first write is of a life whose lease still runs, since it did not sign off. */
	function noteFormerLife(entry: unknown) {
		if (!isFirstWrite || !isMember(entry) || entry.session === self.session) return
		metrics.count("former_lives", "not_signed_off")
		const message = "fleet: the life before ended lately without signing off."
		const fields = {peer: entry.name, session: shortSession(entry.session), address: entry.address}
		log.alarm("fleet", "former_life", message, fields)
	}

	/**
	 * Writes the entry; a previous process's entry may still be there for the rest of its lease.
	 */
	async function write(granted: string): Promise<boolean> {
		const options = () => ({lease: granted, expect: knownRevision})
		let put = await store.put(memberKey(self.name), self, options())
		if (put.type === "conflict") {
			noteFormerLife(put.current?.value)
			knownRevision = put.current?.revision
			put = await store.put(memberKey(self.name), self, options())
		}
		isFirstWrite = false
		if (put.type === "done") knownRevision = put.revision
		return put.type === "done"
	}

	async function register(): Promise<boolean> {
		const granted = await store.grantLease(LEASE_MS)
		if (granted === undefined || !(await write(granted))) return false
		lease = granted
		const {name, session, failureDomain, address} = self
		const fields = {peer: name, session: shortSession(session), failureDomain, address}
		log.event("fleet", "registered", "fleet: registered in the store.", fields)
		return true
	}

	async function renew(): Promise<void> {
		if (lease === undefined) return
		const answer = await store.keepAlive(lease)
		if (answer !== "gone") return
		log.alarm("fleet", "registration_lost", "fleet: the lease of this instance's entry ended.", {})
		lease = undefined
		knownRevision = 0
	}

	async function loop() {
		while (!isEnded) {
			if (lease === undefined && !(await register())) {
				await clock.sleep(RETRY_MS)
				continue
			}
			await clock.sleep(RENEW_MS)
			if (!isEnded) await renew()
		}
	}

	void keepGoing("registration", loop, {clock, log, metrics})
	return {
		async end() {
			isEnded = true
			if (lease !== undefined) await store.revoke(lease)
		},
	}
}
