/**
 * The way from one machine to another, in one direction: what is sent on it passes, late, or not at all.
 *
 * As on a real network a cut loses datagrams and holds what connections have sent, their ends included: senders
 * send it again until it gets through, also after they have closed, so it arrives once the way is mended.
 */

/** What a cut stops. */
export type CutScope = "all" | "streams" | "datagrams"

/** What becomes of what connections had sent into a cut. */
export type Mending =
	/** It arrives, each connection's after its own wait: senders try again at growing intervals. */
	| {readonly type: "deliver"; readonly lagMs: () => number}
	/** It is lost, and its connections with it. */
	| {readonly type: "break"}

/** One connection's share of a way; what it passes arrives in order. */
export interface Lane {
	pass(deliver: () => void): void
	close(): void
}

export interface Path {
	cut(scope: CutScope): void
	/** Everything takes so much longer, in milliseconds. */
	delay(ms: number): void
	mend(mending: Mending): void
	/** What the open connections send is lost for good, their ends included; those that follow work. */
	hush(): void
	/** Opens a lane; `onBreak` says that what it holds is lost. */
	openLane(onBreak: () => void): Lane
	/** Passes a datagram, or loses it. */
	passDatagram(deliver: () => void): void
}

interface HeldLane extends Lane {
	hush(): void
	hold(): void
	releaseAfter(ms: number): void
	break(): void
}

interface Parcel {
	readonly dueAt: number
	readonly deliver: () => void
}

/** Creates a way that lets everything pass. */
export function createPath(): Path {
	const lanes = new Set<HeldLane>()
	let delayMs = 0
	let holdsStreams = false
	let losesDatagrams = false

	function openLane(onBreak: () => void): Lane {
		const lane = createLane({
			isHeld: holdsStreams,
			delayMs: () => delayMs,
			onBreak,
			onClose: () => void lanes.delete(lane),
		})
		lanes.add(lane)
		return lane
	}

	return {
		cut(scope) {
			if (scope !== "streams") losesDatagrams = true
			if (scope === "datagrams") return
			holdsStreams = true
			for (const lane of lanes) lane.hold()
		},
		delay(ms) {
			delayMs = ms
		},
		mend(mending) {
			const wasHeld = holdsStreams
			holdsStreams = losesDatagrams = false
			delayMs = 0
			if (!wasHeld) return
			for (const lane of [...lanes]) {
				if (mending.type === "break") lane.break()
				else lane.releaseAfter(mending.lagMs())
			}
		},
		hush() {
			for (const lane of lanes) lane.hush()
		},
		openLane,
		passDatagram(deliver) {
			if (losesDatagrams) return
			if (delayMs === 0) deliver()
			else setTimeout(deliver, delayMs)
		},
	}
}

function createLane(options: {
	readonly isHeld: boolean
	readonly delayMs: () => number
	readonly onBreak: () => void
	readonly onClose: () => void
}): HeldLane {
	let {isHeld} = options
	let isHushed = false
	let parcels: Parcel[] = []
	let pumpTimer: NodeJS.Timeout | undefined
	let releaseTimer: NodeJS.Timeout | undefined

	function pump() {
		clearTimeout(pumpTimer)
		while (!isHeld && parcels[0] && parcels[0].dueAt <= performance.now())
			parcels.shift()?.deliver()
		const [next] = parcels
		if (!isHeld && next) pumpTimer = setTimeout(pump, Math.max(1, next.dueAt - performance.now()))
	}

	function close() {
		parcels = []
		clearTimeout(pumpTimer)
		clearTimeout(releaseTimer)
		options.onClose()
	}

	return {
		pass(deliver) {
			if (isHushed) return
			parcels.push({dueAt: performance.now() + options.delayMs(), deliver})
			pump()
		},
		hold() {
			isHeld = true
			clearTimeout(releaseTimer)
		},
		releaseAfter(ms) {
			clearTimeout(releaseTimer)
			releaseTimer = setTimeout(() => {
				isHeld = false
				pump()
			}, ms)
		},
		hush() {
			isHushed = true
			parcels = []
			clearTimeout(pumpTimer)
		},
		break() {
			if (isHushed) return
			close()
			options.onBreak()
		},
		close,
	}
}
