/**
 * Preloaded into an instance: SIGUSR2 blocks the process for a while and its monotonic clock doesn't advance meanwhile,
 * as on a suspended machine. The wall clock and the clock since boot go on.
 */
const SUSPENSION_MS = Number(process.env["COTTONWOOD_SUSPENDED_MS"] ?? "600")

const monotonicNow = performance.now.bind(performance)
let suspendedMs = 0
Object.defineProperty(performance, "now", {value: () => monotonicNow() - suspendedMs})

process.on("SIGUSR2", () => {
	const from = monotonicNow()
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, SUSPENSION_MS)
	suspendedMs += monotonicNow() - from
})
