/**
 * Links between two simulated machines on loopback: which data a cut holds back, drops or delivers late.
 */
import {createPath, openPairLink, type PairLink, type Path} from "@cottonwood/standins"
import {expect} from "chai"
import {createSocket, type Socket as Datagrams} from "node:dgram"
import {once} from "node:events"
import {connect, createServer, type Server, type Socket} from "node:net"

const HOST = "127.0.0.1"
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))
const at = (port: number) => ({host: HOST, port})

describe("link between two machines", () => {
	let server: Server
	let datagrams: Datagrams
	let link: PairLink
	let there: Path
	let back: Path
	/** Received texts, with "end" for a closed and "broken" for a failed connection. */
	let arrived: string[]
	const nears: Socket[] = []

	beforeEach(async () => {
		arrived = []
		server = createServer(socket => {
			socket.on("error", () => void arrived.push("broken"))
			socket.on("data", bytes => {
				arrived.push(bytes.toString())
				socket.write(`answer to ${bytes.toString()}`)
			})
			socket.on("end", () => void arrived.push("end"))
		})
		server.listen(0, HOST)
		await once(server, "listening")
		const {port} = server.address() as {port: number}
		datagrams = createSocket("udp4")
		datagrams.on("message", bytes => void arrived.push(`datagram ${bytes.toString()}`))
		datagrams.bind(port, HOST)
		await once(datagrams, "listening")
		there = createPath()
		back = createPath()
		link = await openPairLink({host: HOST, there, back, target: () => at(port)})
	})

	afterEach(() => {
		for (const near of nears.splice(0)) near.destroy()
		link.close()
		server.close()
		datagrams.close()
	})

	async function open(): Promise<{readonly near: Socket; readonly heard: string[]}> {
		const heard: string[] = []
		const near = connect(at(link.port))
		near.on("error", () => void heard.push("broken"))
		near.on("data", bytes => void heard.push(bytes.toString()))
		nears.push(near)
		await once(near, "connect")
		return {near, heard}
	}

	function sendDatagram(text: string) {
		const socket = createSocket("udp4")
		socket.send(text, link.port, HOST, () => socket.close())
	}

	it("passes data in both directions, and datagrams", async () => {
		const {near, heard} = await open()
		near.write("one")
		sendDatagram("two")
		await sleep(100)
		expect(arrived).to.have.members(["one", "datagram two"])
		expect(heard).to.eql(["answer to one"])
	})

	it("delivers a closed connection's data and end after a cut is mended", async () => {
		const {near} = await open()
		near.write("one")
		await sleep(50)
		there.cut("all")
		near.write("two")
		sendDatagram("three")
		near.destroySoon()
		await sleep(100)
		expect(arrived).to.eql(["one"])
		there.mend({type: "deliver", lagMs: () => 50})
		await sleep(20)
		expect(arrived).to.eql(["one"])
		await sleep(100)
		expect(arrived).to.eql(["one", "two", "end"])
	})

	it("passes the other direction when one direction is cut", async () => {
		const {near, heard} = await open()
		back.cut("all")
		near.write("one")
		await sleep(50)
		expect(arrived).to.eql(["one"])
		expect(heard).to.eql([])
		back.mend({type: "deliver", lagMs: () => 0})
		await sleep(50)
		expect(heard).to.eql(["answer to one"])
	})

	it("breaks connections with held data when the cut is mended that way", async () => {
		const {near, heard} = await open()
		there.cut("all")
		near.write("one")
		await sleep(50)
		there.mend({type: "break"})
		await sleep(50)
		expect(arrived).to.not.include("one")
		expect(heard).to.eql(["broken"])
	})

	it("silences connections and lets datagrams pass, and the other way round", async () => {
		const {near} = await open()
		there.cut("streams")
		near.write("one")
		sendDatagram("two")
		await sleep(50)
		expect(arrived).to.eql(["datagram two"])
		there.mend({type: "deliver", lagMs: () => 0})
		there.cut("datagrams")
		near.write("three")
		sendDatagram("four")
		await sleep(50)
		expect(arrived.join()).to.equal("datagram two,onethree")
	})

	it("keeps the order of what is sent on a slow link", async () => {
		const {near} = await open()
		there.delay(80)
		near.write("one")
		await sleep(20)
		there.delay(0)
		near.write("two")
		await sleep(20)
		expect(arrived).to.eql([])
		await sleep(100)
		expect(arrived.join("")).to.equal("onetwo")
	})
})
