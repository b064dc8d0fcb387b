/**
 * The stand-ins, for tests, the demo and experiments; never shipped.
 */
export {createPlatform, PLATFORM_DEFAULTS} from "./platform/platform.js"
export type {Faults, ListedInstance, PlatformSettings} from "./platform/platform.js"
export {KeyValueData} from "./platform/kv.js"
export {countStarts, readStarts} from "./targets/judge.js"
export type {Start} from "./targets/judge.js"
export {seededRandom} from "./utils/random.js"
export {listen} from "./utils/server.js"
export {startFleet, waitFor, DEFAULT_SHAPE} from "./fleet/fleet.js"
export type {CutKind, Fleet, FleetEntry, FleetShape} from "./fleet/fleet.js"
export {call, submitJob, submitRequest} from "./fleet/client.js"
export type {CallerAnswer, CallOptions} from "./fleet/client.js"
export {startProcess, killAll} from "./fleet/process.js"
export type {FleetProcess} from "./fleet/process.js"
export {openLink} from "./fleet/link.js"
