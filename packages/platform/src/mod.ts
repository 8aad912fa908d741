/**
 * Translates between the users' platform and the product.
 *
 * @module
 */

export { Daemon } from "./daemon.ts";
export { parseSettings, readSettings } from "./settings.ts";
export type { PlatformSettings } from "./settings.ts";
