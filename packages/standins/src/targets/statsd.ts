/** The process of a metrics sink: receives statsd datagrams, and serves counters and gauges at `/metrics`. */
import {createSocket} from "node:dgram"
import {Hono} from "hono"
import {announce, listen, readSettings} from "../utils/server.js"

const settings = readSettings({port: 0, httpPort: 0})
const counters = new Map<string, number>()
const gauges = new Map<string, number>()

function applyLine(line: string) {
	const match = /^([^:]+):([-+0-9.]+)\|([a-z]+)(?:\|#(.*))?$/.exec(line)
	if (!match) return
	const [, name, value, type] = match
	if (type === "c") counters.set(name!, (counters.get(name!) ?? 0) + Number(value))
	if (type === "g") gauges.set(`${name} ${match[4] ?? ""}`.trim(), Number(value))
}

const socket = createSocket("udp4")
socket.on("message", message => message.toString().split("\n").forEach(applyLine))
const app = new Hono()
app.get("/metrics", c =>
	c.json({counters: Object.fromEntries(counters), gauges: Object.fromEntries(gauges)}),
)
app.get("/port", c => c.json({port: socket.address().port}))
const http = await listen(app, settings.httpPort)
socket.bind(settings.port, "127.0.0.1", () => announce(http.port))
