/**
 * The state of a target: its used capacity, and whether it may take work now.
 */
import type {Resources, Target} from "../../types/types-external.js"
import type {Health} from "../health.js"
import {isMatch} from "../selector.js"
import type {Attempt} from "./attempt.js"

export interface TargetState {
	target: Target
	readonly used: {cpu: number; memoryMb: number; accelerators: number}
	running: number
	/** Nothing is sent before this time, after a refusal as busy. */
	blockedUntil: number
	/** Until this time the target counts as leaving, whatever the list says. */
	leavingUntil: number
}

const ACCELERATOR_PENALTY = 2
const AVOID_PENALTY = 4
const PREFER_BONUS = 1
const RACK_PENALTY = 0.25

export function createTargetState(target: Target): TargetState {
	const used = {cpu: 0, memoryMb: 0, accelerators: 0}
	return {target, used, running: 0, blockedUntil: 0, leavingUntil: 0}
}

export function allocate(state: TargetState, need: Resources) {
	state.running++
	state.used.cpu += need.cpu
	state.used.memoryMb += need.memoryMb
	state.used.accelerators += need.accelerators
}

export function release(state: TargetState, need: Resources) {
	state.running--
	state.used.cpu -= need.cpu
	state.used.memoryMb -= need.memoryMb
	state.used.accelerators -= need.accelerators
}

export function isLeaving(state: TargetState, now: number): boolean {
	return state.target.state === "leaving" || now < state.leavingUntil
}

function hasRoom({target, used}: TargetState, need: Resources): boolean {
	const {capacity} = target
	return (
		used.cpu + need.cpu <= capacity.cpu &&
		used.memoryMb + need.memoryMb <= capacity.memoryMb &&
		used.accelerators + need.accelerators <= capacity.accelerators
	)
}

/** Returns whether an idle target has the resources that a task needs. */
export function isLargeEnough({capacity}: Target, need: Resources): boolean {
	return (
		need.cpu <= capacity.cpu &&
		need.memoryMb <= capacity.memoryMb &&
		need.accelerators <= capacity.accelerators
	)
}

/** Returns whether a target could run an attempt when idle. */
export function isFitting({target}: TargetState, {need, selector}: Attempt): boolean {
	return isLargeEnough(target, need) && isMatch(selector, target.labels)
}

/** Returns whether an attempt may be sent to a target now. */
export function canAccept(
	state: TargetState,
	attempt: Attempt,
	health: Health,
	now: number,
): boolean {
	const {target} = state
	if (!hasRoom(state, attempt.need)) return false
	if (isLeaving(state, now) || now < state.blockedUntil) return false
	if (!isMatch(attempt.selector, target.labels)) return false
	// A probe may fail, so only work that may be retried is sent to a target set aside.
	if (health.isAside(target.id) && !attempt.mayRetry) return false
	return health.isUsable(target.id)
}

/**
 * Returns the cost of a placement, lower is better: the load, penalties for accelerators, earlier
 * tries and shared racks, and a bonus for preferred targets.
 */
export function costOf(
	{target, used}: TargetState,
	attempt: Attempt,
	racks: ReadonlyMap<string, number>,
): number {
	const {capacity, rack, labels} = target
	let cost = (used.cpu + attempt.need.cpu) / capacity.cpu
	if (attempt.need.accelerators === 0 && capacity.accelerators > 0) cost += ACCELERATOR_PENALTY
	if (attempt.avoid.includes(target.id)) cost += AVOID_PENALTY
	if (attempt.prefer.length > 0 && isMatch(attempt.prefer, labels)) cost -= PREFER_BONUS
	if (attempt.spreadRacks) cost += RACK_PENALTY * (racks.get(rack) ?? 0)
	return cost
}
