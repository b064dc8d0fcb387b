/**
 * Preloaded into an instance: SIGUSR2 blocks the process for a while and its monotonic clock doesn't advance meanwhile,
 * as on a suspended machine. The wall clock and the clock since boot go on.
 */
const SUSPENDED_MS = Number(process.env["COTTONWOOD_SUSPENDED_MS"] ?? "600")

const steady = performance.now.bind(performance)
let lostMs = 0
Object.defineProperty(performance, "now", {value: () => steady() - lostMs})

process.on("SIGUSR2", () => {
	const from = steady()
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, SUSPENDED_MS)
	lostMs += steady() - from
})
