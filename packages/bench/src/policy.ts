/**
 * What the bench asks of a policy.
 *
 * @module
 */

import type { SimRequest, World } from "./world.ts";

/** Decides where requests run. */
export interface Policy {
  /** A charged request arrives at its router, or comes back after a failure. */
  route(request: SimRequest): void;
  onEngineDown?(engine: string): void;
  onEngineUp?(engine: string): void;
  onRoutersDown?(routers: readonly string[]): void;
  onRoutersUp?(routers: readonly string[]): void;
}

/** Makes a policy for a run. */
export type PolicyFactory = (world: World) => Policy;
