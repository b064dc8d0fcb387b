/**
 * The public API of the entry instance: reading settings and starting an instance.
 */
export {parseSettings, readSettingsFile, settingsSchema} from "./core/settings.js"
export type {Settings} from "./core/settings.js"
export {startInstance} from "./instance.js"
export type {Instance} from "./instance.js"
