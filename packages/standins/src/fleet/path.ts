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
export interface Lane {
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
	openLane(onBreak: () => void): Lane
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

/** Creates a path without faults. */
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
