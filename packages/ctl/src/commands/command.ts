/**
 * The type of commands and of their input.
 */
import type {Connection} from "../client.js"

export interface Invocation {
	readonly connection: Connection
	/** The words after the command's name. */
	readonly words: readonly string[]
	readonly asJson: boolean
	readonly flags: {
		readonly id?: string
		readonly deadlineMs?: number
		readonly version?: number
		readonly author: string
		readonly limit: number
		/** Ends the evacuation of a failure domain. */
		readonly finish: boolean
	}
}

/** Runs a command and returns the process's exit code. */
export type Command = (invocation: Invocation) => Promise<number>
