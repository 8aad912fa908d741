/**
 * What a scenario is.
 *
 * @module
 */

import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Daemon } from "./harness/daemon.ts";
import type { Fleet } from "./harness/fleet.ts";
import type { FleetShape } from "./harness/fleet_shape.ts";
import type { Load, LoadShape } from "./load/load.ts";
import type { Outcome } from "./load/outcome.ts";
import type { Rotation } from "./load/rotation.ts";

/** A target of a scenario's own, beside those of every scenario. */
export interface Check {
  readonly name: string;
  readonly isMet: boolean;
  readonly detail: string;
}

/** What a scenario works with. */
export interface ScenarioContext {
  readonly fleet: Fleet;
  readonly rotation: Rotation;
  readonly load: Load;
  readonly random: RandomGenerator;
  /** Notes that the first fault begins now. */
  faultBegins(): void;
  /** Adds calls that the scenario made itself. */
  addOutcomes(...outcomes: readonly Outcome[]): void;
  /** Adds a target of the scenario's own. */
  check(name: string, options: Omit<Check, "name">): void;
  /** Starts a daemon again; not becoming ready is a missed target. */
  startAgain(...daemons: readonly Daemon[]): Promise<void>;
  /** Lets the load run on. */
  pass(ms: number): Promise<void>;
}

/** One failure scenario. */
export interface Scenario {
  readonly name: string;
  /** What happens, in one sentence. */
  readonly summary: string;
  /** In a planned stop no call may be cut. */
  readonly isPlanned?: boolean;
  readonly shape?: Partial<FleetShape>;
  readonly load?: Partial<LoadShape>;
  run(context: ScenarioContext): Promise<void>;
}
