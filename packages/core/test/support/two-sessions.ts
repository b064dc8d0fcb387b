/**
 * Two sessions of the real core over a fake store. A test decides whether each write is taken,
 * dropped, answered late or never, and when the second session takes over.
 */
import {
	createExplainer,
	createOwner,
	fail,
	openJournal,
	sealJournal,
	submissionKey,
	type Clock,
	type CreateResult,
	type Journal,
	type JournalEntry,
	type JournalRecord,
	type Outcome,
	type Owner,
	type Submission,
} from "@cottonwood/core"
import {ok} from "neverthrow"

export type SessionName = "a" | "b"

interface Message {
	readonly seq: number
	readonly entry: JournalEntry
	readonly resolve: (result: CreateResult) => void
	answer?: CreateResult
	/** Whether the store still has the message before it. */
	isInFlight: boolean
}

export interface CopyState {
	readonly key: string
	answer: "held" | "not run" | "unknown" | "value"
}

const NEVER_MS = Number.MAX_SAFE_INTEGER

/** A clock that moves only when told to; sleeps end at once. */
function manualClock() {
	let now = 0
	let timers: {readonly at: number; readonly callback: () => void}[] = []
	const clock: Clock = {
		now: () => now,
		wallNow: () => now,
		sleep: () => Promise.resolve(),
		schedule(ms, callback) {
			const timer = {at: now + ms, callback}
			timers.push(timer)
			return () => void (timers = timers.filter(item => item !== timer))
		},
	}
	return {
		clock,
		advance(ms: number) {
			now += ms
			const due = timers.filter(timer => timer.at <= now)
			timers = timers.filter(timer => timer.at > now)
			for (const timer of due) timer.callback()
		},
	}
}

export interface Guards {
	readonly intentFirst?: boolean
	readonly readBack?: boolean
	readonly seal?: boolean
}

const ALL_SHARDS = new Set(Array.from({length: 64}, (_, i) => i))
const settle = () => new Promise<void>(resolve => setImmediate(resolve))

export function createTwoSessions(guards: Guards = {}) {
	const {clock, advance} = manualClock()
	const stored: Record<SessionName, JournalEntry[]> = {a: [], b: []}
	const messages: Record<SessionName, Message | undefined> = {a: undefined, b: undefined}
	const owns: Record<SessionName, boolean> = {a: true, b: false}
	const alive: Record<SessionName, boolean> = {a: true, b: true}
	const starts = new Map<string, number>()
	const copies: CopyState[] = []
	let admits = true
	let listWaiter: ((entries: {seq: number; entry: JournalEntry}[]) => void) | undefined
	let sealWaiter: (() => void) | undefined
	let takeover: "idle" | "listing" | "sealing" | "sealed" | "done" = "idle"
	let sealedRecords: readonly JournalRecord[] = []

	function createEntry(name: SessionName, seq: number, entry: JournalEntry): CreateResult {
		const present = stored[name][seq]
		if (present) return {type: "exists", entry: present}
		stored[name][seq] = entry
		return {type: "created"}
	}

	function openSession(name: SessionName): {readonly journal: Journal; readonly owner: Owner} {
		const journal = openJournal({
			session: name,
			clock,
			random: () => 0,
			spacingMs: () => 0,
			lazyMs: NEVER_MS,
			guards: {readBack: guards.readBack ?? true},
			onSealed: () => void (owns[name] = false),
			create: (seq, entry) =>
				new Promise(resolve => (messages[name] = {seq, entry, resolve, isInFlight: true})),
		})
		const owner = createOwner({
			clock,
			random: () => 0,
			isOwned: () => owns[name] && alive[name],
			journal: () => journal,
			retentionMs: () => Number.MAX_SAFE_INTEGER,
			explainer: createExplainer(clock.wallNow),
			count: () => undefined,
			guards: {intentFirst: guards.intentFirst ?? true},
			admit: () => (admits ? ok(undefined) : fail("overloaded", "refused by the test")),
			askPastOwner: () => Promise.resolve(undefined),
			execute(submission) {
				const {key} = submission.head
				if (alive[name]) starts.set(key, (starts.get(key) ?? 0) + 1)
				return Promise.resolve<Outcome>({ok: true, value: name})
			},
		})
		return {journal, owner}
	}

	const sessions = {a: openSession("a"), b: openSession("b")}

	function submissionOf(key: string): Submission {
		const head = {
			key,
			digest: "digest",
			team: "team",
			deadlineAt: Number.MAX_SAFE_INTEGER,
			repeatable: false,
		}
		return {head, type: "request", request: {endpoint: "inventory", payload: null}}
	}

	function beginTakeover() {
		takeover = "listing"
		void sealJournal("a", "b", {
			clock,
			nonce: () => "seal",
			list: () => new Promise(resolve => (listWaiter = resolve)),
			create: (_session, seq, entry) =>
				new Promise(resolve => {
					takeover = "sealing"
					sealWaiter = () => resolve(createEntry("a", seq, entry))
				}),
		}).then(records => {
			sealedRecords = records ?? []
			takeover = "sealed"
		})
	}

	return {
		starts,
		copies,
		owns,
		alive,
		stored,
		takeover: () => takeover,
		message: (name: SessionName) => messages[name],
		settle,
		async arrive(name: SessionName, key: string, isAdmitted: boolean): Promise<void> {
			const copy: CopyState = {key, answer: "held"}
			copies.push(copy)
			admits = isAdmitted
			void sessions[name].owner.submit(submissionOf(submissionKey("caller", key))).then(outcome => {
				if (!alive[name]) copy.answer = "unknown"
				else if (outcome.ok) copy.answer = "value"
				else copy.answer = outcome.ran === "not run" ? "not run" : "unknown"
			})
			await settle()
		},
		async storeTakes(name: SessionName, answers: boolean) {
			const message = messages[name]!
			message.isInFlight = false
			const result = createEntry(name, message.seq, message.entry)
			if (answers) message.answer = result
			await settle()
		},
		async storeDrops(name: SessionName) {
			messages[name]!.isInFlight = false
			await settle()
		},
		async answerArrives(name: SessionName) {
			const message = messages[name]!
			messages[name] = undefined
			if (alive[name]) message.resolve(message.answer!)
			await settle()
		},
		async timeout(name: SessionName) {
			const message = messages[name]!
			messages[name] = undefined
			message.resolve({type: "unknown"})
			await settle()
		},
		async stall(ms: number) {
			advance(ms)
			await settle()
		},
		async crash(name: SessionName) {
			alive[name] = false
			owns[name] = false
			for (const copy of copies) if (copy.answer === "held") copy.answer = "unknown"
			await settle()
		},
		async list() {
			if (guards.seal === false) {
				sealedRecords = stored.a.flatMap(entry => ("records" in entry ? entry.records : []))
				takeover = "sealed"
				return
			}
			if (takeover === "idle") beginTakeover()
			await settle()
			const waiter = listWaiter
			listWaiter = undefined
			waiter?.(stored.a.map((entry, seq) => ({seq, entry})))
			await settle()
		},
		async seal() {
			takeover = "listing"
			const waiter = sealWaiter
			sealWaiter = undefined
			waiter?.()
			await settle()
		},
		async serve() {
			sessions.b.owner.inherit("a", sealedRecords, ALL_SHARDS)
			owns.b = true
			takeover = "done"
			await settle()
		},
	}
}

export type TwoSessions = ReturnType<typeof createTwoSessions>
