/**
 * The policies by name.
 *
 * @module
 */

import { LeastLoaded, PrefixHash, RoundRobin } from "./baseline_policies.ts";
import { Fleet } from "./fleet.ts";
import { LimitsAdmission } from "./limits_admission.ts";
import { Oracle } from "./oracle_policy.ts";
import type { NamedPolicy } from "./run_trace.ts";

/** All policies, in the order of the output. */
export const POLICIES: readonly NamedPolicy[] = [
  {
    name: "endivebend",
    create: (world) => new Fleet(world),
    admission: (world) => new LimitsAdmission(world),
  },
  { name: "round_robin", create: (world) => new RoundRobin(world) },
  { name: "least_loaded", create: (world) => new LeastLoaded(world) },
  { name: "prefix_hash", create: (world) => new PrefixHash(world) },
  { name: "oracle", create: (world) => new Oracle(world) },
];

/** Names of the baselines. */
export const BASELINES: readonly string[] = [
  "round_robin",
  "least_loaded",
  "prefix_hash",
];
