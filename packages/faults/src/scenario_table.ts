/**
 * Every scenario by its name.
 *
 * @module
 */

import type { Scenario } from "./scenario.ts";
import { COMBINED_SCENARIOS } from "./scenarios/combined.ts";
import { ENGINE_SCENARIOS } from "./scenarios/engines.ts";
import { ENTRY_VM_SCENARIOS } from "./scenarios/entry_vms.ts";
import { KEY_SCENARIOS } from "./scenarios/keys.ts";
import { LOG_SCENARIOS } from "./scenarios/log.ts";
import { PARTITION_SCENARIOS } from "./scenarios/partitions.ts";
import { RATE_SCENARIOS } from "./scenarios/rates.ts";
import { SERVICE_SCENARIOS } from "./scenarios/services.ts";

const ALL_SCENARIOS: readonly Scenario[] = [
  ...ENGINE_SCENARIOS,
  ...ENTRY_VM_SCENARIOS,
  ...LOG_SCENARIOS,
  ...SERVICE_SCENARIOS,
  ...PARTITION_SCENARIOS,
  ...KEY_SCENARIOS,
  ...RATE_SCENARIOS,
  ...COMBINED_SCENARIOS,
];

/** The table. */
export const SCENARIOS: ReadonlyMap<string, Scenario> = new Map(
  ALL_SCENARIOS.map((scenario) => [scenario.name, scenario]),
);
