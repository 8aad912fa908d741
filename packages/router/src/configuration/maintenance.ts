/**
 * Periodic maintenance of the configuration stream: appends pending withdrawals
 * and snapshots that are due.
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

/** Dependencies of {@link ConfigurationMaintenance}. */
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

/** Appends pending withdrawals and due snapshots periodically. */
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

  /** Starts the timer; call it once. */
  start(): void {
    const { scheduler, logger } = this.#options;
    const tick = () => {
      this.#cancelTick = scheduler.after(MAINTENANCE_INTERVAL_MS, tick);
      this.run().catch((cause) => {
        const fields = { cause: String(cause) };
        logger.error(
          fields,
          "Maintenance of the configuration failed; trying again at the next interval",
        );
      });
    };
    this.#cancelTick = scheduler.after(MAINTENANCE_INTERVAL_MS, tick);
  }

  stop(): void {
    this.#cancelTick();
  }

  /** Appends the withdrawals and the snapshot that are due now. */
  async run(): Promise<void> {
    await this.#withdrawals.appendPending();
    await this.#snapshots.writeIfDue();
  }

  /** Zero-based rank of this VM in the rendezvous order of a key. */
  #rank(key: string): number {
    const { membership, identity } = this.#options;
    const vmIds = membership.entryVms().map(({ vmId }) => vmId);
    const place = rankByRendezvous(key, vmIds).indexOf(identity.vmId);
    return place < 0 ? vmIds.length : place;
  }
}
