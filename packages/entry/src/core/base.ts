/**
 * What all parts of an instance share: settings, clock, randomness, log, metrics and mutable state.
 */
import {createExplainer, systemClock, type Clock, type Explainer} from "@cottonwood/core"
import {createLog, type Log} from "../utils/log.js"
import {createMetrics, type Metrics} from "../utils/metrics.js"
import type {Settings} from "./settings.js"

export interface Base {
	readonly settings: Settings
	readonly clock: Clock
	readonly random: () => number
	readonly log: Log
	readonly metrics: Metrics
	readonly explainer: Explainer
	readonly state: InstanceState
}

export interface InstanceState {
	draining: boolean
	openRequests: number
	/** The bound port, 0 before listening; likewise `peerPort`. */
	httpPort: number
	peerPort: number
}

export function createBase(settings: Settings): Base {
	return {
		settings,
		clock: systemClock,
		random: Math.random,
		log: createLog(settings.log, settings.instance),
		metrics: createMetrics(settings.statsd, settings.instance),
		explainer: createExplainer(systemClock.wallNow),
		state: {draining: false, openRequests: 0, httpPort: 0, peerPort: 0},
	}
}
