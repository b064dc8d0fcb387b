/** The process of the platform stand-in, started by fleets. */
import {announce, listen, readSettings} from "../utils/server.js"
import {createPlatform, PLATFORM_DEFAULTS} from "./platform.js"
import type {Hono} from "hono"

const settings = readSettings(PLATFORM_DEFAULTS)
const running = await listen(createPlatform(settings) as unknown as Hono, settings.port)
announce(running.port)
