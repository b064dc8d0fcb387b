/**
 * Tickets that let executors run the steps of queues with advice.
 *
 * Asking takes long and is done one call at a time for each instance, so a step is asked for once, for about
 * as many executors as it can use; again only when its tickets have run out or were refused.
 */
import type {Clock} from "@cottonwood/core"
import type {Advisor} from "../types/advisor.js"
import type {AdviceTiming} from "../types/fleet-config.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"

/** Executors named in one call; the users reckon with one call for so many a step. */
const ASKED_AT_ONCE = 30
/** A ticket that ends sooner is not used: the start takes a moment to arrive. */
const TICKET_MARGIN_MS = 60
/** An answer is missed after its own time and this. */
const ANSWER_SLACK_MS = 400
/** After a call without an answer, or too many that wait. */
const RETRY_MS = 250

export interface TicketsDeps {
	readonly clock: Clock
	readonly advisor: Advisor
	readonly log: EventLog
	readonly metrics: JobMetrics
	/** New tickets have arrived. */
	readonly onTickets: () => void
}

export interface Tickets {
	/** The ticket of an executor for a step that holds now. */
	ticketOf(step: string, executor: string): string | undefined
	/** Asks for a step unless that is under way; executors already known are not asked for again. */
	want(step: string, executors: readonly string[], timing: AdviceTiming): void
	/** An executor refused a ticket: it is not used again. */
	refuse(step: string, executor: string): void
	/** The step is over. */
	forget(step: string): void
}

interface Held {
	readonly ticket: string
	readonly until: number
}

interface StepTickets {
	readonly held: Map<string, Held>
	/** Asked for, and not allowed; that does not change. */
	readonly excluded: Set<string>
	isAsking: boolean
}

export function createTickets(deps: TicketsDeps): Tickets {
	const {clock, advisor, log, metrics} = deps
	const steps = new Map<string, StepTickets>()
	/** The service handles one call at a time for each instance; more would only wait there. */
	let lastCall: Promise<unknown> = Promise.resolve()

	function stepOf(step: string): StepTickets {
		let known = steps.get(step)
		if (!known) {
			known = {held: new Map(), excluded: new Set(), isAsking: false}
			steps.set(step, known)
		}
		return known
	}

	function holds(known: StepTickets, executor: string): Held | undefined {
		const held = known.held.get(executor)
		return held && clock.now() < held.until ? held : undefined
	}

	async function ask(step: string, executors: readonly string[], timing: AdviceTiming) {
		const known = stepOf(step)
		const takesMs = timing.decideMs + timing.perExecutorMs * executors.length
		const sentAt = clock.now()
		const reply = await advisor.ask(step, executors, takesMs + ANSWER_SLACK_MS)
		metrics.count("advice_calls", reply.type)
		const tookMs = Math.round(clock.now() - sentAt)
		const count = reply.type === "advice" ? reply.tickets.size : 0
		const fields = {task: step, outcome: reply.type, count, tookMs}
		log.event("placer", "advice", "placer: asked which executors may run a step.", fields)
		if (reply.type !== "advice") await clock.sleep(RETRY_MS)
		else {
			// The ticket's time may have begun when the call was sent.
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
			return known && holds(known, executor)?.ticket
		},
		want(step, executors, timing) {
			const known = stepOf(step)
			if (known.isAsking) return
			const asked = executors
				.filter(executor => !known.excluded.has(executor) && !holds(known, executor))
				.slice(0, ASKED_AT_ONCE)
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
