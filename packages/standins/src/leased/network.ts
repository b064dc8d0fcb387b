/**
 * The network between instances, and from them to executors, on loopback: one way for each ordered pair, and a link
 * over two of them for each address that an instance may connect to.
 */
import {openPairLink, type PairLink, type Target} from "../fleet/pair-link.js"
import {createPath, type Path} from "../fleet/path.js"

export interface NetworkPlan {
	/** The address at which links listen: one for each test, since instances that outlive theirs still send. */
	readonly host: string
	/** Each instance's name and its own address. */
	readonly instances: readonly {readonly name: string; readonly ip: string}[]
	/** Executors: the place that they share on the network, and where they are reached. */
	readonly executors: readonly {readonly place: string; readonly address: string}[]
	/** Where an instance's newest life is reached by its peers. */
	readonly peerOf: (name: string) => string | undefined
}

export interface Network {
	/** The way from one place to another. */
	path(from: string, to: string): Path
	/** Resets all connections that were opened from one place to another. */
	reset(from: string, to: string): void
	/** The same for the side that opened them; whether the other hears of it is a matter of the way. */
	resetNear(from: string, to: string): void
	/** All connections that are open go silent for good; new ones work. */
	hush(): void
	/** The addresses that an instance must not reach directly, with those of its links. */
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
