/**
 * Plays of the platform's bundle as real processes.
 *
 * @module
 */

export { runPlay } from "./run_play.ts";
export type { PlayResult, RunOptions } from "./run_play.ts";
export { planPlay, SCENARIO_NAMES } from "./scenarios.ts";
export type { Play, PlayOptions } from "./scenarios.ts";
export type { Breach, Verdict } from "./verdict.ts";
