/**
 * Reads a request's body straight from the connection, which costs less processor time than the
 * framework's web stream.
 */
import {fail, type DispatchError} from "@cottonwood/core"
import type {HttpBindings} from "@hono/node-server"
import type {Context} from "hono"
import {ok, type Result} from "neverthrow"

/** Fails with `body_too_large` when the body has more than `limit` bytes. */
export async function readBody(c: Context, limit: number): Promise<Result<string, DispatchError>> {
	const tooLarge = () => fail("body_too_large", `more than ${limit} bytes`)
	if (Number(c.req.header("content-length") ?? 0) > limit) return tooLarge()
	const {incoming} = c.env as HttpBindings
	const chunks: Buffer[] = []
	let size = 0
	for await (const chunk of incoming as AsyncIterable<Buffer>) {
		size += chunk.length
		if (size > limit) return tooLarge()
		chunks.push(chunk)
	}
	return ok(Buffer.concat(chunks).toString("utf8"))
}
