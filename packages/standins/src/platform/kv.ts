/**
 * The data of the key-value stand-in: revisions, compare-and-swap, leases and long-polling watches.
 */

export interface Item {
	readonly key: string
	readonly value: unknown
	readonly revision: number
}

interface Stored extends Item {
	readonly lease: string | undefined
}

interface Lease {
	readonly ttlMs: number
	expiresAt: number
}

export type PutResult =
	| {readonly type: "done"; readonly revision: number}
	| {readonly type: "conflict"; readonly current: Item | undefined}
	| {readonly type: "no lease"}

export interface Change {
	readonly items: readonly Item[]
	readonly deleted: readonly string[]
	readonly revision: number
}

interface Watcher {
	readonly prefix: string
	readonly wake: () => void
}

const MAX_DELETIONS = 10_000

export class KeyValueData {
	private readonly items = new Map<string, Stored>()
	private readonly leases = new Map<string, Lease>()
	private readonly watchers = new Set<Watcher>()
	private deletions: {readonly key: string; readonly revision: number}[] = []
	private revision = 0
	private leaseSerial = 0

	get(key: string): Item | undefined {
		return this.items.get(key)
	}

	list(prefix: string): {readonly items: readonly Item[]; readonly revision: number} {
		const items = [...this.items.values()].filter(item => item.key.startsWith(prefix))
		items.sort((a, b) => (a.key < b.key ? -1 : 1))
		return {items, revision: this.revision}
	}

	/** Writes if the key's revision is `expect`, 0 for an absent key; undefined writes in any case. */
	put(key: string, value: unknown, expect: number | undefined, lease?: string): PutResult {
		const current = this.items.get(key)
		if (expect !== undefined && (current?.revision ?? 0) !== expect) {
			return {type: "conflict", current}
		}
		if (lease !== undefined && !this.leases.has(lease)) return {type: "no lease"}
		this.revision++
		this.items.set(key, {key, value, revision: this.revision, lease})
		this.wake(key)
		return {type: "done", revision: this.revision}
	}

	deletePrefix(prefix: string): number {
		const keys = [...this.items.keys()].filter(key => key.startsWith(prefix))
		for (const key of keys) this.remove(key)
		return keys.length
	}

	grantLease(ttlMs: number, now: number): string {
		const id = `lease-${++this.leaseSerial}`
		this.leases.set(id, {ttlMs, expiresAt: now + ttlMs})
		return id
	}

	keepAlive(id: string, now: number): boolean {
		const lease = this.leases.get(id)
		if (!lease) return false
		lease.expiresAt = now + lease.ttlMs
		return true
	}

	revoke(id: string) {
		this.leases.delete(id)
		for (const item of [...this.items.values()]) if (item.lease === id) this.remove(item.key)
	}

	expireLeases(now: number) {
		for (const [id, lease] of this.leases) if (lease.expiresAt <= now) this.revoke(id)
	}

	/** Gives every lease a full term, as a store does when it comes back from an outage. */
	extendLeases(now: number) {
		for (const lease of this.leases.values()) lease.expiresAt = now + lease.ttlMs
	}

	changesAfter(prefix: string, revision: number): Change {
		const items = this.list(prefix).items.filter(item => item.revision > revision)
		const deleted = this.deletions
			.filter(item => item.revision > revision && item.key.startsWith(prefix))
			.map(item => item.key)
			.filter(key => !this.items.has(key))
		return {items, deleted: [...new Set(deleted)], revision: this.revision}
	}

	/** Resolves with the changes under a prefix after `revision`, at the latest after `waitMs`. */
	async watch(prefix: string, revision: number, waitMs: number): Promise<Change> {
		const now = this.changesAfter(prefix, revision)
		if (now.items.length > 0 || now.deleted.length > 0) return now
		await new Promise<void>(resolve => {
			const watcher = {prefix, wake: () => finish()}
			const timer = setTimeout(() => finish(), waitMs)
			const finish = () => {
				clearTimeout(timer)
				this.watchers.delete(watcher)
				resolve()
			}
			this.watchers.add(watcher)
		})
		return this.changesAfter(prefix, revision)
	}

	private remove(key: string) {
		this.items.delete(key)
		this.revision++
		this.deletions.push({key, revision: this.revision})
		if (this.deletions.length > MAX_DELETIONS) this.deletions = this.deletions.slice(1_000)
		this.wake(key)
	}

	private wake(key: string) {
		for (const watcher of [...this.watchers]) if (key.startsWith(watcher.prefix)) watcher.wake()
	}
}
