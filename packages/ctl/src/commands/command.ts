/**
 * What all commands are given, and the shape they have.
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
		/** Takes an evacuated failure domain back. */
		readonly finish: boolean
	}
}

/** Runs a command and returns the process's exit code. */
export type Command = (invocation: Invocation) => Promise<number>
