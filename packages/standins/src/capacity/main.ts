/** Command line of the capacity measurements (`npm run capacity`), which docs/CAPACITY.md is derived from. */
import {measureIdle} from "./idle.js"
import {measureSpread} from "./spread.js"
import {measureSlopes} from "./slopes.js"

const ENTRIES_PER_DOMAIN = [1, 2, 4]

for (const {name, unit, of, sizes, values, base, perSize} of await measureSlopes()) {
	const points = sizes.map((size, i) => `${size}: ${values[i]!.toPrecision(4)}`).join("  ")
	process.stdout.write(
		`${name}, ${unit}: ${base.toPrecision(3)} + ${perSize.toPrecision(3)} per ${of} (${points})\n`,
	)
}
for (const count of ENTRIES_PER_DOMAIN) {
	process.stdout.write(`idle fleet: ${JSON.stringify(await measureIdle(count))}\n`)
}
for (const figures of await measureSpread()) {
	process.stdout.write(`configuration: ${JSON.stringify(figures)}\n`)
}
