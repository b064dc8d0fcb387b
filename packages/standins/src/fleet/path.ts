/**
 * A one-way network path between two machines that can be cut and delayed. Used by pair links.
 *
 * A cut drops datagrams and holds the data and closes of connections, since TCP retransmits them until the path is
 * mended.
 */

export type CutScope = "all" | "streams" | "datagrams"

/** What happens to held data of connections when a cut ends. */
export type Mending =
	/** Delivered after a delay for each connection, as by TCP's retransmission backoff. */
	| {readonly type: "deliver"; readonly lagMs: () => number}
	/** Dropped, and the connections are broken. */
	| {readonly type: "break"}

/** One connection on a path; delivers in order. */
export interface Stream {
	pass(deliver: () => void): void
	close(): void
}

export interface Path {
	cut(scope: CutScope): void
	/** Delays everything, in milliseconds. */
	delay(ms: number): void
	mend(mending: Mending): void
	/** Drops all further data and closes of open connections; new connections work. */
	hush(): void
	/** Adds a connection; `onBreak` is called when its held data is dropped. */
	openStream(onBreak: () => void): Stream
	passDatagram(deliver: () => void): void
}

interface ControlledStream extends Stream {
	hush(): void
	hold(): void
	releaseAfter(ms: number): void
	break(): void
}

interface PendingDelivery {
	readonly dueAt: number
	readonly deliver: () => void
}

/** Creates a path without faults. */
export function createPath(): Path {
	const streams = new Set<ControlledStream>()
	let delayMs = 0
	let holdsStreams = false
	let losesDatagrams = false

	function openStream(onBreak: () => void): Stream {
		const stream = createStream({
			isHeld: holdsStreams,
			delayMs: () => delayMs,
			onBreak,
			onClose: () => void streams.delete(stream),
		})
		streams.add(stream)
		return stream
	}

	return {
		cut(scope) {
			if (scope !== "streams") losesDatagrams = true
			if (scope === "datagrams") return
			holdsStreams = true
			for (const stream of streams) stream.hold()
		},
		delay(ms) {
			delayMs = ms
		},
		mend(mending) {
			const wasHeld = holdsStreams
			holdsStreams = losesDatagrams = false
			delayMs = 0
			if (!wasHeld) return
			for (const stream of [...streams]) {
				if (mending.type === "break") stream.break()
				else stream.releaseAfter(mending.lagMs())
			}
		},
		hush() {
			for (const stream of streams) stream.hush()
		},
		openStream,
		passDatagram(deliver) {
			if (losesDatagrams) return
			if (delayMs === 0) deliver()
			else setTimeout(deliver, delayMs)
		},
	}
}

function createStream(options: {
	readonly isHeld: boolean
	readonly delayMs: () => number
	readonly onBreak: () => void
	readonly onClose: () => void
}): ControlledStream {
	let {isHeld} = options
	let isHushed = false
	let pending: PendingDelivery[] = []
	let deliverTimer: NodeJS.Timeout | undefined
	let releaseTimer: NodeJS.Timeout | undefined

	function deliverDue() {
		clearTimeout(deliverTimer)
		while (!isHeld && pending[0] && pending[0].dueAt <= performance.now())
			pending.shift()?.deliver()
		const [next] = pending
		if (!isHeld && next)
			deliverTimer = setTimeout(deliverDue, Math.max(1, next.dueAt - performance.now()))
	}

	function close() {
		pending = []
		clearTimeout(deliverTimer)
		clearTimeout(releaseTimer)
		options.onClose()
	}

	return {
		pass(deliver) {
			if (isHushed) return
			pending.push({dueAt: performance.now() + options.delayMs(), deliver})
			deliverDue()
		},
		hold() {
			isHeld = true
			clearTimeout(releaseTimer)
		},
		releaseAfter(ms) {
			clearTimeout(releaseTimer)
			releaseTimer = setTimeout(() => {
				isHeld = false
				deliverDue()
			}, ms)
		},
		hush() {
			isHushed = true
			pending = []
			clearTimeout(deliverTimer)
		},
		break() {
			if (isHushed) return
			close()
			options.onBreak()
		},
		close,
	}
}
