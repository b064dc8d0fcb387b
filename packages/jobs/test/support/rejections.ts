/**
 * Rejected promises that nobody awaits.
 */
/** Collects the messages of rejections that nobody handles; they end a process, but not a test. */
export async function rejectionsDuring(act: () => Promise<void>): Promise<readonly string[]> {
	const found: string[] = []
	const note = (error: unknown) => void found.push((error as Error).message)
	const before = process.listeners("unhandledRejection")
	process.removeAllListeners("unhandledRejection").on("unhandledRejection", note)
	try {
		await act()
		await new Promise(resolve => setTimeout(resolve, 5))
	} finally {
		process.removeAllListeners("unhandledRejection")
		for (const listener of before) process.on("unhandledRejection", listener)
	}
	return found
}
