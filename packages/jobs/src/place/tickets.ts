/**
 * Tickets from the advisor, which allow executors to run a step of a queue with advice.
 *
 * A call is slow and the advisor handles one at a time for each instance. So each step is asked for once, for about as many
 * executors as it can use, and again only when its tickets have expired or were refused.
 */
import type {Clock} from "@cottonwood/core"
import type {Advisor} from "../types/advisor.js"
import type {AdviceTiming} from "../types/fleet-config.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"

/** Executors named in one call. */
const MAX_EXECUTORS_PER_CALL = 30
/** A ticket that expires sooner is not used, since the start takes time to arrive. */
const TICKET_MARGIN_MS = 60
/** The timeout of a call beyond its expected time. */
const ANSWER_MARGIN_MS = 400
/** The delay after a call that was not answered, or found the advisor busy. */
const RETRY_MS = 250

export interface TicketsDeps {
	readonly clock: Clock
	readonly advisor: Advisor
	readonly log: EventLog
	readonly metrics: JobMetrics
	/** Called when a call has ended, with or without new tickets. */
	readonly onTickets: () => void
}

export interface Tickets {
	/** An executor's valid ticket for a step; undefined if there is none. */
	ticketOf(step: string, executor: string): string | undefined
	/** Asks for a step's tickets unless a call is under way; skips executors that have one or were excluded. */
	request(step: string, executors: readonly string[], timing: AdviceTiming): void
	/** Drops a ticket that its executor refused. */
	refuse(step: string, executor: string): void
	/** Drops the tickets of a step that has ended. */
	forget(step: string): void
}

interface HeldTicket {
	readonly ticket: string
	readonly until: number
}

interface StepTickets {
	readonly held: Map<string, HeldTicket>
	/** Executors that the advisor did not allow; final. */
	readonly excluded: Set<string>
	isAsking: boolean
}

export function createTickets(deps: TicketsDeps): Tickets {
	const {clock, advisor, log, metrics} = deps
	const steps = new Map<string, StepTickets>()
	/** The advisor handles one call at a time for each instance. */
	let lastCall: Promise<unknown> = Promise.resolve()

	function stepOf(step: string): StepTickets {
		let known = steps.get(step)
		if (!known) {
			known = {held: new Map(), excluded: new Set(), isAsking: false}
			steps.set(step, known)
		}
		return known
	}

	function validTicket(known: StepTickets, executor: string): HeldTicket | undefined {
		const held = known.held.get(executor)
		return held && clock.now() < held.until ? held : undefined
	}

	async function ask(step: string, executors: readonly string[], timing: AdviceTiming) {
		const known = stepOf(step)
		const takesMs = timing.decideMs + timing.perExecutorMs * executors.length
		const sentAt = clock.now()
		const reply = await advisor.ask(step, executors, takesMs + ANSWER_MARGIN_MS)
		metrics.count("advice_calls", reply.type)
		const tookMs = Math.round(clock.now() - sentAt)
		const count = reply.type === "advice" ? reply.tickets.size : 0
		const fields = {task: step, outcome: reply.type, count, tookMs}
		log.event(
			"placer",
			"advice",
			"placer: asked the advisor which executors may run a step.",
			fields,
		)
		if (reply.type !== "advice") await clock.sleep(RETRY_MS)
		else {
			// The ticket may have become valid when the call was sent.
			const until = sentAt + reply.validMs - TICKET_MARGIN_MS
			for (const executor of executors) {
				const ticket = reply.tickets.get(executor)
				if (ticket === undefined) known.excluded.add(executor)
				else known.held.set(executor, {ticket, until})
			}
		}
		known.isAsking = false
		deps.onTickets()
	}

	return {
		ticketOf(step, executor) {
			const known = steps.get(step)
			return known && validTicket(known, executor)?.ticket
		},
		request(step, executors, timing) {
			const known = stepOf(step)
			if (known.isAsking) return
			const asked = executors
				.filter(executor => !known.excluded.has(executor) && !validTicket(known, executor))
				.slice(0, MAX_EXECUTORS_PER_CALL)
			if (asked.length === 0) return
			known.isAsking = true
			lastCall = lastCall.then(() => ask(step, asked, timing))
		},
		refuse(step, executor) {
			steps.get(step)?.held.delete(executor)
		},
		forget: step => void steps.delete(step),
	}
}
