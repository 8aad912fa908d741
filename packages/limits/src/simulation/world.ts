/**
 * Environment that the simulated VMs of a fleet share.
 *
 * @module
 */

import type { LendingSettings } from "../terms.ts";
import type { EventQueue } from "./event_queue.ts";
import type { Ledger } from "./ledger.ts";
import type { SimulatedLog } from "./log.ts";
import type { Network } from "./network.ts";
import type { Random } from "./random.ts";
import type { SimulatedVm } from "./vm.ts";

/** Rate and burst of a team. */
export interface TeamLimit {
  readonly rateTokensPerSecond: number;
  readonly burstTokens: number;
}

/** Everything outside a simulated VM that it can reach. */
export interface World {
  readonly queue: EventQueue;
  readonly random: Random;
  readonly network: Network;
  readonly log: SimulatedLog;
  readonly vms: Map<string, SimulatedVm>;
  readonly limits: ReadonlyMap<string, TeamLimit>;
  readonly ledgers: ReadonlyMap<string, Ledger>;
  readonly lending: LendingSettings;
  /** Domains that a VM proposes while the stream defines none. */
  readonly domains: readonly string[];
  /** Names of VMs that are no longer in the platform's list. */
  readonly ended: ReadonlySet<string>;
}
