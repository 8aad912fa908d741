/**
 * What a daemon does for the configuration from time to time: it appends
 * withdrawals that wait for the log, and snapshots that are due.
 *
 * @module
 */

import { checkKey, type ConfigurationState } from "@endivebend/configuration";
import { rankByRendezvous } from "@endivebend/routing";
import type {
  Clock,
  FollowedStream,
  Identity,
  Logger,
  MembershipView,
  Scheduler,
} from "../ports.ts";
import type { BlockedKeys } from "./blocked_keys.ts";
import { SnapshotWriter } from "./snapshot_writer.ts";
import { WithdrawalAppender } from "./withdrawal_appender.ts";

const MAINTENANCE_INTERVAL_MS = 1_000;
const SNAPSHOT_RANK_KEY = "configuration-snapshot";

/** What the upkeep needs. */
export interface MaintenanceOptions {
  readonly state: ConfigurationState;
  readonly blocked: BlockedKeys;
  readonly stream: () => FollowedStream;
  readonly identity: Identity;
  readonly membership: MembershipView;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly logger: Logger;
  readonly logRetentionMs: number;
}

/** The periodic work; {@link start} it once. */
export class ConfigurationMaintenance {
  readonly #options: MaintenanceOptions;
  readonly #snapshots: SnapshotWriter;
  readonly #withdrawals: WithdrawalAppender;
  #cancelTick = () => {};

  constructor(options: MaintenanceOptions) {
    this.#options = options;
    this.#snapshots = new SnapshotWriter({
      ...options,
      retentionMs: options.logRetentionMs,
      rank: () => this.#rank(SNAPSHOT_RANK_KEY),
    });
    this.#withdrawals = new WithdrawalAppender({
      ...options,
      isInForce: (digest) => checkKey(options.state, digest).kind === "valid",
      rank: (digest) => this.#rank(digest),
    });
  }

  start(): void {
    const { scheduler, logger } = this.#options;
    const tick = () => {
      this.#cancelTick = scheduler.after(MAINTENANCE_INTERVAL_MS, tick);
      this.run().catch((cause) => {
        const fields = { cause: String(cause) };
        logger.error(fields, "Upkeep of the configuration failed");
      });
    };
    this.#cancelTick = scheduler.after(MAINTENANCE_INTERVAL_MS, tick);
  }

  stop(): void {
    this.#cancelTick();
  }

  /** Does what is due now. */
  async run(): Promise<void> {
    await this.#withdrawals.appendPending();
    await this.#snapshots.writeIfDue();
  }

  /** Place of this VM in rendezvous order for a key, from 0. */
  #rank(key: string): number {
    const { membership, identity } = this.#options;
    const vmIds = membership.entryVms().map(({ vmId }) => vmId);
    const place = rankByRendezvous(key, vmIds).indexOf(identity.vmId);
    return place < 0 ? vmIds.length : place;
  }
}
