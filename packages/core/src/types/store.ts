/**
 * The key-value service that the platform runs, as the product uses it: single keys with revisions,
 * compare-and-swap, leases, and a waiting watch. Every client of a real store implements this.
 *
 * An answer that does not arrive is reported as unknown, never guessed.
 */

export interface StoreItem {
	readonly key: string
	readonly value: unknown
	readonly revision: number
}

export type PutResult =
	| {readonly type: "done"; readonly revision: number}
	| {readonly type: "conflict"; readonly current: StoreItem | undefined}
	| {readonly type: "no lease"}
	| {readonly type: "unknown"}

export interface StoreListing {
	readonly items: readonly StoreItem[]
	/** Changes after this one may be missing from the items. */
	readonly revision: number
	/** Keys whose bytes cannot be read: somebody else wrote them, and they name nothing. */
	readonly unreadable?: readonly string[]
}

/** What came after a revision. A reader takes the items in their order, then drops what is deleted. */
export interface StoreChange {
	/** The writes, oldest first: a key that was written twice may be there twice. */
	readonly items: readonly StoreItem[]
	/** Keys that are gone in the end, and those whose bytes cannot be read any more. */
	readonly deleted: readonly string[]
	readonly revision: number
	/** Those of the deleted keys that are there, with bytes that cannot be read. */
	readonly unreadable?: readonly string[]
}

export interface PutOptions {
	/** The revision that the key must have; 0 for an absent key. */
	readonly expect?: number
	readonly lease?: string
}

export interface Store {
	/** `undefined` means no answer; `null` means that the key is absent. */
	get(key: string): Promise<StoreItem | null | undefined>
	list(prefix: string): Promise<StoreListing | undefined>
	put(key: string, value: unknown, options?: PutOptions): Promise<PutResult>
	deletePrefix(prefix: string): Promise<boolean>
	grantLease(ttlMs: number): Promise<string | undefined>
	keepAlive(lease: string): Promise<"alive" | "gone" | "unknown">
	revoke(lease: string): Promise<void>
	/** Waits for changes under a prefix; `undefined` means no answer, or that the signal ended the wait. */
	watch(
		prefix: string,
		after: number,
		waitMs: number,
		signal?: AbortSignal,
	): Promise<StoreChange | undefined>
	/** Milliseconds for which every call has gone unanswered; 0 when the last one was answered. */
	silentMs(): number
	close(): Promise<void>
}

/** A write of several keys that is done whole or not at all. */
export interface Transaction {
	/** The revisions that the keys must have; 0 for an absent key. */
	readonly expect: readonly {readonly key: string; readonly revision: number}[]
	readonly puts: readonly {readonly key: string; readonly value: unknown}[]
	readonly removes: readonly string[]
}

export type TransactionResult =
	| {readonly type: "done"; readonly revision: number}
	/** Nothing was done; `current` holds those of the expected keys that exist. */
	| {readonly type: "conflict"; readonly current: readonly StoreItem[]}
	/** The store said that it did nothing. */
	| {readonly type: "refused"}
	/** It may have been done, or may be done seconds later if its conditions still hold. */
	| {readonly type: "unknown"}

/** A store that writes several keys at once. */
export interface TransactionalStore extends Store {
	transact(transaction: Transaction): Promise<TransactionResult>
}
