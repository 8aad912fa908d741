/**
 * Translates between the users' platform and the product.
 *
 * @module
 */

export { createDaemon } from "./daemon.ts";
export { parseSettings, readSettings } from "./settings.ts";
export type { PlatformSettings } from "./settings.ts";
