/**
 * The public surface of the entry instance: its settings, and starting it.
 */
export {parseSettings, readSettingsFile, settingsSchema} from "./core/settings.js"
export type {Settings} from "./core/settings.js"
export {startInstance} from "./instance.js"
export type {Instance} from "./instance.js"
