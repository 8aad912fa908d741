/**
 * Adapts the platform's store, engines and wire formats to the front daemon.
 *
 * @module
 */

export { createDaemon } from "./daemon.ts";
export { parseSettings, readSettings } from "./settings.ts";
export type { PlatformSettings } from "./settings.ts";
export { startStore } from "./testing_store.ts";
export type { StoreStandIn } from "./testing_store.ts";
