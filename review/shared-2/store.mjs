/**
 * A small stand-in of the platform's metadata store, by PROTOCOL.md: items, ranges, watches, conditional writes and leases.
 */
/* global Buffer, performance, setInterval, clearInterval, setTimeout, clearTimeout */
import {createServer} from "node:http"

const PAGE_ITEMS = 500
const MAX_ENTRIES = 32
const FOREIGN = ["op/", "servers/"]

export function readBody(req) {
	return new Promise(resolve => {
		const chunks = []
		req.on("data", chunk => chunks.push(chunk))
		req.on("end", () => resolve(Buffer.concat(chunks).toString("utf8")))
		req.on("error", () => resolve(""))
	})
}

export function send(res, status, body) {
	if (res.destroyed) return
	res.writeHead(status, {"content-type": "application/json"})
	res.end(JSON.stringify(body))
}

export function listen(server, host, port = 0) {
	return new Promise((resolve, reject) => {
		server.once("error", reject)
		server.listen(port, host, () => resolve(server.address().port))
	})
}

const encode = value => Buffer.from(JSON.stringify(value)).toString("base64")
const decode = text => JSON.parse(Buffer.from(text, "base64").toString("utf8"))

function createData() {
	const items = new Map()
	const leases = new Map()
	const changes = []
	const waiting = new Set()
	let revision = 1
	let leaseSerial = 0

	function set(key, value, lease) {
		const rev = ++revision
		const item = {key, value, rev, created: items.get(key)?.created ?? rev, lease}
		items.set(key, item)
		changes.push({rev, key, item})
	}
	function unset(key) {
		if (items.delete(key)) changes.push({rev: ++revision, key})
	}
	function wake() {
		for (const resolve of [...waiting]) resolve()
	}
	function endLease(id) {
		leases.delete(id)
		for (const item of [...items.values()]) if (item.lease === id) unset(item.key)
		wake()
	}
	const timer = setInterval(() => {
		for (const [id, {until}] of leases) if (until < performance.now()) endLease(id)
	}, 50)
	return {
		items,
		leases,
		changes,
		set,
		unset,
		wake,
		endLease,
		revision: () => revision,
		newLease(ttlMs) {
			leases.set(++leaseSerial, {ttlMs, until: performance.now() + ttlMs})
			return leaseSerial
		},
		nextChange: ms =>
			new Promise(resolve => {
				const done = () => {
					clearTimeout(limit)
					waiting.delete(done)
					resolve()
				}
				const limit = setTimeout(done, ms)
				waiting.add(done)
			}),
		close: () => clearInterval(timer),
	}
}

function answerTxn(data, {"expected-rev": expected = [], puts = [], remove = []}) {
	if (expected.length + puts.length + remove.length > MAX_ENTRIES) return [400, {}]
	const written = [...puts.map(({key}) => key), ...remove]
	if (written.some(key => FOREIGN.some(prefix => key.startsWith(prefix)))) return [403, {}]
	if (expected.some(({key, rev}) => (data.items.get(key)?.rev ?? 0) !== rev)) {
		const items = expected.map(({key}) => data.items.get(key)).filter(Boolean)
		return [412, {items, "at-rev": data.revision()}]
	}
	if (puts.some(({lease}) => lease && !data.leases.has(lease))) return [404, {}]
	for (const {key, value, lease = 0} of puts) data.set(key, value, lease)
	for (const key of remove) data.unset(key)
	data.wake()
	return [200, {rev: data.revision()}]
}

function answerRange(data, query) {
	const prefix = query.get("path-prefix") ?? ""
	const after = query.get("after-rev") ?? ""
	const found = [...data.items.values()]
		.filter(({key}) => key.startsWith(prefix) && key > after)
		.sort((a, b) => (a.key < b.key ? -1 : 1))
	const items = found.slice(0, PAGE_ITEMS)
	return [200, {items, "has-more": found.length > items.length, "at-rev": data.revision()}]
}

async function answerWatch(data, query, res) {
	const prefix = query.get("path-prefix") ?? ""
	const after = Number(query.get("after-rev"))
	const until = performance.now() + Number(query.get("wait-ms"))
	for (;;) {
		const seen = data.changes.filter(({rev, key}) => rev > after && key.startsWith(prefix))
		const leftMs = until - performance.now()
		if (seen.length > 0 || leftMs <= 0 || res.destroyed) {
			const events = seen.map(({key, rev, item}) => item ?? {key, rev, deleted: true})
			return [200, {events, "at-rev": data.revision()}]
		}
		await data.nextChange(leftMs)
	}
}

async function answer(data, req, body, res) {
	const url = new URL(req.url, "http://store")
	const query = url.searchParams
	const [, call, id] = url.pathname.split("/")
	if (call === "kv-key") {
		const item = data.items.get(query.get("key") ?? "")
		return item ? [200, {...item, "at-rev": data.revision()}] : [404, {"at-rev": data.revision()}]
	}
	if (call === "kv-range") return answerRange(data, query)
	if (call === "kv-watch") return answerWatch(data, query, res)
	if (call === "kv-txn") return answerTxn(data, JSON.parse(body))
	if (call === "kv-lease") {
		const ttlMs = JSON.parse(body)["ttl-ms"]
		return [200, {lease: data.newLease(ttlMs), "ttl-ms": ttlMs}]
	}
	if (call === "kv-keep") {
		const lease = data.leases.get(Number(id))
		if (!lease) return [404, {}]
		lease.until = performance.now() + lease.ttlMs
		return [200, {lease: Number(id), "ttl-ms": lease.ttlMs}]
	}
	if (call === "kv-lease-end") {
		data.endLease(Number(id))
		return [200, {}]
	}
	return [404, {}]
}

/** Starts the store. `write`, `remove` and `read` are those of the operator and the executors. */
export async function startStore(host) {
	const data = createData()
	const server = createServer(async (req, res) => {
		const body = await readBody(req)
		send(res, ...(await answer(data, req, body, res)))
	})
	const port = await listen(server, host)
	return {
		address: `${host}:${port}`,
		write(key, value) {
			data.set(key, encode(value), 0)
			data.wake()
		},
		remove(key) {
			data.unset(key)
			data.wake()
		},
		read(key) {
			const item = data.items.get(key)
			return item && decode(item.value)
		},
		keys: prefix => [...data.items.keys()].filter(key => key.startsWith(prefix)),
		close() {
			data.close()
			server.closeAllConnections()
			server.close()
		},
	}
}
