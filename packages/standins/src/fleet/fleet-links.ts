/**
 * The links of a fleet whose failure domains can be cut off: one from each failure domain to the
 * platform, and one from each failure domain to each entry instance of the others.
 */
import {openLink, type Link} from "./link.js"

export type CutKind = "platform" | "to peers" | "from peers"

interface PeerLink {
	readonly from: string
	readonly to: string
	readonly link: Link
}

export interface FleetLinks {
	/** The URL at which a failure domain reaches the platform. */
	platformUrl(failureDomain: string): string
	/** Opens the links to an entry instance; returns its address for each other failure domain. */
	openTo(instance: string, failureDomain: string): Promise<Record<string, string>>
	/** Sets the port where an entry instance listens for its peers. */
	setPeerPort(instance: string, port: number): void
	cut(failureDomain: string, what: readonly CutKind[]): void
	/** Drops all further data of open connections to the platform; new connections work. */
	hushPlatform(failureDomain: string): void
	mend(failureDomain: string): void
	close(): void
}

export async function openFleetLinks(
	failureDomains: readonly string[],
	platformPort: number,
): Promise<FleetLinks> {
	const platformLinks = new Map<string, Link>()
	const peerLinks = new Map<string, PeerLink>()
	const peerPorts = new Map<string, number>()
	for (const failureDomain of failureDomains) {
		platformLinks.set(failureDomain, await openLink(() => platformPort))
	}

	async function linkTo(instance: string, from: string, to: string): Promise<Link> {
		const id = `${from}>${instance}`
		const known = peerLinks.get(id)
		if (known) return known.link
		const link = await openLink(() => peerPorts.get(instance) ?? 0)
		peerLinks.set(id, {from, to, link})
		return link
	}

	return {
		platformUrl: failureDomain => `http://127.0.0.1:${platformLinks.get(failureDomain)!.port}`,
		async openTo(instance, failureDomain) {
			const addresses: Record<string, string> = {}
			for (const from of failureDomains) {
				if (from === failureDomain) continue
				const {port} = await linkTo(instance, from, failureDomain)
				addresses[from] = `127.0.0.1:${port}`
			}
			return addresses
		},
		setPeerPort: (instance, port) => void peerPorts.set(instance, port),
		cut(failureDomain, what) {
			if (what.includes("platform")) platformLinks.get(failureDomain)!.cut()
			for (const {from, to, link} of peerLinks.values()) {
				if (what.includes("to peers") && from === failureDomain) link.cut()
				if (what.includes("from peers") && to === failureDomain) link.cut()
			}
		},
		hushPlatform: failureDomain => platformLinks.get(failureDomain)!.hush(),
		mend(failureDomain) {
			platformLinks.get(failureDomain)!.mend()
			for (const {from, to, link} of peerLinks.values()) {
				if (from === failureDomain || to === failureDomain) link.mend()
			}
		},
		close() {
			for (const link of platformLinks.values()) link.close()
			for (const {link} of peerLinks.values()) link.close()
		},
	}
}
