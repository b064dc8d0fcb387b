/**
 * The difference between two JSON values, by path.
 */

export interface Difference {
	readonly path: string
	readonly from: unknown
	readonly to: unknown
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === "object" && value !== null && !Array.isArray(value)
}

/**
 * Lists the differences; a key that one side lacks counts as undefined there.
 *
 * @example diffJson({a: 1}, {a: 2}) // [{path: "a", from: 1, to: 2}]
 */
export function diffJson(from: unknown, to: unknown, path = ""): readonly Difference[] {
	if (isObject(from) && isObject(to)) {
		const keys = [...new Set([...Object.keys(from), ...Object.keys(to)])].sort()
		return keys.flatMap(key => diffJson(from[key], to[key], path === "" ? key : `${path}.${key}`))
	}
	const isSame = JSON.stringify(from) === JSON.stringify(to)
	return isSame ? [] : [{path, from, to}]
}
