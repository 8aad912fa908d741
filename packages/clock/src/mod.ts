/**
 * The daemon's clock and timers. They are injected, so that tests can use
 * virtual time.
 *
 * @module
 */

export { createClock, createScheduler } from "./clock.ts";
export { delay, steadyMs } from "./time_types.ts";
export type { Clock, Scheduler } from "./time_types.ts";
