/**
 * Label selectors in the syntax that operators know: `key=value`, `key!=value`, `key in (a,b)`,
 * `key notin (a,b)`, `key`, `!key`, joined by commas. All requirements must hold.
 */
import {ok, type Result} from "neverthrow"
import {fail, type DispatchError} from "../utils/errors.js"
import type {Labels} from "../types/types-external.js"

type Operator = "in" | "notin" | "exists" | "absent"

export interface Requirement {
	readonly key: string
	readonly operator: Operator
	readonly values: readonly string[]
}

export type Selector = readonly Requirement[]

const NAME = /^[A-Za-z0-9]([A-Za-z0-9._/-]{0,252}[A-Za-z0-9])?/
const SPACE = /^\s+/

interface Cursor {
	readonly text: string
	at: number
}

class Mismatch extends Error {
	constructor(
		readonly at: number,
		readonly expected: string,
	) {
		super(expected)
	}
}

function skipSpace(cursor: Cursor) {
	const match = SPACE.exec(cursor.text.slice(cursor.at))
	if (match) cursor.at += match[0].length
}

function take(cursor: Cursor, token: string): boolean {
	skipSpace(cursor)
	if (!cursor.text.startsWith(token, cursor.at)) return false
	cursor.at += token.length
	return true
}

function takeName(cursor: Cursor, expected: string): string {
	skipSpace(cursor)
	const match = NAME.exec(cursor.text.slice(cursor.at))
	if (!match) throw new Mismatch(cursor.at, expected)
	cursor.at += match[0].length
	return match[0]
}

function takeSet(cursor: Cursor): readonly string[] {
	if (!take(cursor, "(")) throw new Mismatch(cursor.at, "(")
	const values = [takeName(cursor, "a value")]
	while (take(cursor, ",")) values.push(takeName(cursor, "a value"))
	if (!take(cursor, ")")) throw new Mismatch(cursor.at, ", or )")
	return values
}

function takeRequirement(cursor: Cursor): Requirement {
	if (take(cursor, "!")) {
		return {key: takeName(cursor, "a label key"), operator: "absent", values: []}
	}
	const key = takeName(cursor, "a label key or !")
	if (take(cursor, "!=")) return {key, operator: "notin", values: [takeName(cursor, "a value")]}
	if (take(cursor, "==") || take(cursor, "="))
		return {key, operator: "in", values: [takeName(cursor, "a value")]}
	const word = /^(notin|in)(?=[\s(])/.exec(cursor.text.slice(cursor.at))
	if (!word) return {key, operator: "exists", values: []}
	cursor.at += word[0].length
	return {key, operator: word[1] as Operator, values: takeSet(cursor)}
}

/**
 * Parses a selector; the error names the position (from 1) and what was expected there.
 *
 * @example parseSelector("zone in (quito,loja), !spot")
 */
export function parseSelector(text: string): Result<Selector, DispatchError> {
	const cursor: Cursor = {text, at: 0}
	const requirements: Requirement[] = []
	try {
		skipSpace(cursor)
		if (cursor.at === text.length) return ok(requirements)
		do requirements.push(takeRequirement(cursor))
		while (take(cursor, ","))
		skipSpace(cursor)
		if (cursor.at < text.length) throw new Mismatch(cursor.at, ", or the end")
		return ok(requirements)
	} catch (error) {
		if (!(error instanceof Mismatch)) throw error
		const found = error.at < text.length ? JSON.stringify(text[error.at]) : "the end"
		return fail(
			"invalid_selector",
			`${JSON.stringify(text)}, position ${error.at + 1}: expected ${error.expected}, found ${found}`,
		)
	}
}

function holds(requirement: Requirement, labels: Labels): boolean {
	const value = labels[requirement.key]
	switch (requirement.operator) {
		case "exists":
			return value !== undefined
		case "absent":
			return value === undefined
		case "in":
			return value !== undefined && requirement.values.includes(value)
		case "notin":
			return value === undefined || !requirement.values.includes(value)
	}
}

/** Returns whether the labels satisfy every requirement. */
export function isMatch(selector: Selector, labels: Labels): boolean {
	return selector.every(requirement => holds(requirement, labels))
}
