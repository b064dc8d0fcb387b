/**
 * The one part of the HTTP library that the bundled program uses.
 */
import Agent from "../node_modules/undici/lib/dispatcher/agent.js"

export {Agent}
