/**
 * An in-memory store with conditional writes and transactions, and the faults of real ones.
 */
import type {
	PutResult,
	Store,
	StoreItem,
	Transaction,
	TransactionalStore,
	TransactionResult,
} from "@cottonwood/core"

/** What happens to the next transaction. */
export type TransactionFault = "refused" | "lost" | "done but not answered"

export interface FakeStore {
	isAway: boolean
	silentMs: number
	puts: number
	lists: number
	transactions: Transaction[]
	faults: TransactionFault[]
	/** The longest value that transactions may write, as JSON. */
	maxValueBytes: number
	readonly items: Map<string, StoreItem>
	watch: Store["watch"] | undefined
	write(key: string, value: unknown): StoreItem
	/** Carries a transaction out now, like a call that arrives late. */
	carryOut(transaction: Transaction): TransactionResult
}

export function createFakeStore() {
	const items = new Map<string, StoreItem>()
	let revision = 0
	const unused = () => Promise.reject(new Error("not used"))
	const fake: FakeStore = {
		isAway: false,
		silentMs: 0,
		puts: 0,
		lists: 0,
		transactions: [],
		faults: [],
		maxValueBytes: Infinity,
		items,
		watch: undefined,
		write(key, value) {
			const item = {key, value, revision: ++revision}
			items.set(key, item)
			return item
		},
		carryOut({expect, puts, removes}) {
			const isMet = expect.every(one => (items.get(one.key)?.revision ?? 0) === one.revision)
			const current = expect.flatMap(({key}) => items.get(key) ?? [])
			if (!isMet) return {type: "conflict", current}
			revision++
			for (const {key, value} of puts) items.set(key, {key, value, revision})
			for (const key of removes) items.delete(key)
			return {type: "done", revision}
		},
	}

	async function transact(transaction: Transaction): Promise<TransactionResult> {
		fake.transactions.push(transaction)
		const fault = fake.isAway ? "refused" : fake.faults.shift()
		if (fault === "refused") return {type: "refused"}
		const isTooLarge = ({value}: {value: unknown}) =>
			JSON.stringify(value).length > fake.maxValueBytes
		if (transaction.puts.some(isTooLarge)) return {type: "rejected"}
		if (fault === "lost") return {type: "unknown"}
		const result = fake.carryOut(transaction)
		return fault ? {type: "unknown"} : result
	}

	const store: TransactionalStore = {
		transact,
		get: key => Promise.resolve(fake.isAway ? undefined : (items.get(key) ?? null)),
		list(prefix) {
			fake.lists++
			const found = [...items.values()].filter(({key}) => key.startsWith(prefix))
			return Promise.resolve(fake.isAway ? undefined : {items: found, revision})
		},
		put(key, value, {expect: expected} = {}) {
			fake.puts++
			const current = items.get(key)
			const result: PutResult =
				expected !== undefined && expected !== (current?.revision ?? 0)
					? {type: "conflict", current}
					: {type: "done", revision: revision + 1}
			if (result.type === "done") fake.write(key, value)
			return Promise.resolve(fake.isAway ? {type: "unknown"} : result)
		},
		deletePrefix: unused,
		grantLease: unused,
		keepAlive: unused,
		revoke: unused,
		watch: (...args) => (fake.watch ? fake.watch(...args) : Promise.resolve(undefined)),
		silentMs: () => fake.silentMs,
		close: () => Promise.resolve(),
	}
	return {fake, store}
}
