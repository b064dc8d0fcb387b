/**
 * A simulated network on loopback between instances, and from instances to executors: a one-way path for each ordered
 * pair, and a link over two paths for each address that an instance connects to. Used by soaks and tests of network faults.
 */
import {openPairLink, type PairLink, type Target} from "../fleet/pair-link.js"
import {createPath, type Path} from "../fleet/path.js"

export interface NetworkPlan {
	/** The address at which links listen; one for each test, so that leftover instances of another test reach none. */
	readonly host: string
	readonly instances: readonly {readonly name: string; readonly ip: string}[]
	/** Executors of one place share its paths. */
	readonly executors: readonly {readonly place: string; readonly address: string}[]
	/** The peer address of an instance's current process. */
	readonly peerOf: (name: string) => string | undefined
}

export interface Network {
	/** The path from one place to another. */
	path(from: string, to: string): Path
	/** Resets both ends of all connections that were opened from one place to another. */
	reset(from: string, to: string): void
	/** Resets only the end that opened them; the reset reaches the other end over the path, if at all. */
	resetNear(from: string, to: string): void
	/** Drops all further data of the open connections without closing them; new connections work. */
	hush(): void
	/** The addresses of peers and executors, mapped to the instance's links to them. */
	routesOf(name: string): Readonly<Record<string, string>>
	close(): void
}

function targetOf(address: string | undefined): Target | undefined {
	if (address === undefined) return undefined
	const [host = "", port = "0"] = address.split(":")
	return {host, port: Number(port)}
}

/** Opens all links. */
export async function openNetwork(plan: NetworkPlan): Promise<Network> {
	const paths = new Map<string, Path>()
	const links = new Map<string, PairLink[]>()
	const routes = new Map<string, Record<string, string>>()
	const keyOf = (from: string, to: string) => `${from}>${to}`

	function path(from: string, to: string): Path {
		const key = keyOf(from, to)
		const known = paths.get(key) ?? createPath()
		paths.set(key, known)
		return known
	}

	async function open(
		from: string,
		to: string,
		address: string,
		addressNow: () => string | undefined,
	) {
		const target = () => targetOf(addressNow())
		const link = await openPairLink({
			host: plan.host,
			there: path(from, to),
			back: path(to, from),
			target,
		})
		links.set(keyOf(from, to), [...(links.get(keyOf(from, to)) ?? []), link])
		routes.set(from, {...routes.get(from), [address]: `${plan.host}:${link.port}`})
	}

	for (const {name: from} of plan.instances) {
		for (const {name: to, ip} of plan.instances)
			if (from !== to) await open(from, to, ip, () => plan.peerOf(to))
		for (const {place, address} of plan.executors) await open(from, place, address, () => address)
	}

	return {
		path,
		reset(from, to) {
			for (const link of links.get(keyOf(from, to)) ?? []) link.reset()
		},
		resetNear(from, to) {
			for (const link of links.get(keyOf(from, to)) ?? []) link.resetNear()
		},
		hush() {
			for (const one of paths.values()) one.hush()
		},
		routesOf: name => routes.get(name) ?? {},
		close() {
			for (const link of [...links.values()].flat()) link.close()
		},
	}
}
