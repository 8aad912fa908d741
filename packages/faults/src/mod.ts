/**
 * Failure scenarios over real processes.
 *
 * @module
 */

export { SCENARIOS } from "./scenario_table.ts";
export { runScenario } from "./run_scenario.ts";
export type { RunOptions, ScenarioResult } from "./run_scenario.ts";
export type { Check, Scenario, ScenarioContext } from "./scenario.ts";
export { computeFigures } from "./verdict.ts";
export type { Evidence, Figures } from "./verdict.ts";
export { ManagedProcess } from "./harness/managed_process.ts";
export type { ProcessOptions } from "./harness/managed_process.ts";
export { PortFinder } from "./harness/ports.ts";
