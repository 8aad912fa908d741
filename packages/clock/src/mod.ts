/**
 * The daemon's clock and timers, injected so that tests use virtual time.
 *
 * @module
 */

export { createClock, createScheduler } from "./clock.ts";
export { delay, steadyMs } from "./time_types.ts";
export type { Clock, Scheduler } from "./time_types.ts";
