/**
 * The key-value store as the dispatcher uses it: keys with revisions, compare-and-swap, leases and
 * long-polling watches. Every client of a real store implements this interface.
 *
 * A call without an answer is reported as unknown.
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
	/** Changes after this revision may be missing from the items. */
	readonly revision: number
	/** Keys whose values cannot be decoded. */
	readonly unreadable?: readonly string[]
}

/** Changes after a revision. A reader applies the items in order, then removes the deleted keys. */
export interface StoreChange {
	/** Writes, oldest first; a key may occur more than once. */
	readonly items: readonly StoreItem[]
	/** Keys that no longer exist, or whose last value cannot be decoded. */
	readonly deleted: readonly string[]
	readonly revision: number
	/** The deleted keys that exist with a value that cannot be decoded. */
	readonly unreadable?: readonly string[]
}

export interface PutOptions {
	/** The revision that the key must have; 0 for an absent key. */
	readonly expect?: number
	readonly lease?: string
}

export interface Store {
	/** Resolves with `null` when the key is absent, and with `undefined` without an answer. */
	get(key: string): Promise<StoreItem | null | undefined>
	/** Resolves with `undefined` without an answer. */
	list(prefix: string): Promise<StoreListing | undefined>
	put(key: string, value: unknown, options?: PutOptions): Promise<PutResult>
	/** Resolves with false unless all keys are certainly deleted. */
	deletePrefix(prefix: string): Promise<boolean>
	/** Resolves with the id of the lease, or with `undefined` without an answer. */
	grantLease(ttlMs: number): Promise<string | undefined>
	keepAlive(lease: string): Promise<"alive" | "gone" | "unknown">
	revoke(lease: string): Promise<void>
	/**
	 * Waits for changes under a prefix; `undefined` without an answer, or when the signal ends the
	 * wait.
	 */
	watch(
		prefix: string,
		after: number,
		waitMs: number,
		signal?: AbortSignal,
	): Promise<StoreChange | undefined>
	/** Milliseconds for which no call has been answered; 0 when the last one was. */
	silentMs(): number
	close(): Promise<void>
}

/** An atomic write of several keys. */
export interface Transaction {
	/** The revisions that the keys must have; 0 for an absent key. */
	readonly expect: readonly {readonly key: string; readonly revision: number}[]
	readonly puts: readonly {readonly key: string; readonly value: unknown}[]
	readonly removes: readonly string[]
}

export type TransactionResult =
	| {readonly type: "done"; readonly revision: number}
	/** Nothing was written; `current` holds those of the expected keys that exist. */
	| {readonly type: "conflict"; readonly current: readonly StoreItem[]}
	/** The store refused the write for now and wrote nothing. */
	| {readonly type: "refused"}
	/** The store never takes this write, as for a value that is too large, and wrote nothing. */
	| {readonly type: "rejected"}
	/** The write may have been done, or may be done seconds later if its conditions still hold. */
	| {readonly type: "unknown"}

/** A store with atomic writes of several keys. */
export interface TransactionalStore extends Store {
	transact(transaction: Transaction): Promise<TransactionResult>
}
