/**
 * Writes snapshots of the configuration into the log.
 *
 * @module
 */

import {
  type ConfigurationState,
  createSnapshotParts,
  planSnapshot,
  type SnapshotPart,
} from "@endivebend/configuration";
import type { Clock, FollowedStream, Identity, Logger } from "../ports.ts";

const APPEND_TIMEOUT_MS = 10_000;
const MIN_DUE_FRACTION = 0.5;
/** Additional delay of each further VM, as a fraction of the retention. */
const DUE_FRACTION_PER_RANK = 0.1;
const MAX_DUE_FRACTION = 0.9;

/** Dependencies of {@link SnapshotWriter}. */
export interface SnapshotWriterOptions {
  readonly state: ConfigurationState;
  readonly stream: () => FollowedStream;
  readonly identity: Identity;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly retentionMs: number;
  /** Zero-based rank of this VM in rendezvous order. */
  readonly rank: () => number;
}

/**
 * Writes a snapshot when one is due. The first VM in rendezvous order writes
 * at half of the log's retention. The next VMs write only when it has not: it
 * may answer its peers and still be unable to reach the platform.
 */
export class SnapshotWriter {
  readonly #options: SnapshotWriterOptions;
  #isWriting = false;

  constructor(options: SnapshotWriterOptions) {
    this.#options = options;
  }

  /** Writes a snapshot if one is due; resolves when the write has ended. */
  async writeIfDue(): Promise<void> {
    if (this.#isWriting || !this.#isDue()) return;
    this.#isWriting = true;
    try {
      await this.#write();
    } finally {
      this.#isWriting = false;
    }
  }

  #isDue(): boolean {
    const { state, clock, retentionMs, rank, stream } = this.#options;
    if (!stream().isCaughtUp()) return false;
    const fraction = MIN_DUE_FRACTION + DUE_FRACTION_PER_RANK * rank();
    const dueFraction = Math.min(fraction, MAX_DUE_FRACTION);
    const nowMs = clock.wallMs();
    return planSnapshot(state, { retentionMs, nowMs, dueFraction }).due;
  }

  async #write(): Promise<void> {
    const { state, identity, logger } = this.#options;
    const { vmId, incarnation } = identity;
    const snapshotId = `${vmId}-${incarnation}-${state.appliedOffset}`;
    const parts = createSnapshotParts(state, { snapshotId });
    for (const part of parts) {
      if (await this.#append(part)) continue;
      logger.warn(
        { snapshotId, part: part.index },
        "Snapshot of the configuration incomplete: a part was not appended",
      );
      return;
    }
    const fields = { snapshotId, parts: parts.length };
    logger.info(fields, "Snapshot of the configuration written");
  }

  async #append(part: SnapshotPart): Promise<boolean> {
    const { clock, stream } = this.#options;
    const deadlineElapsedMs = clock.elapsedMs() + APPEND_TIMEOUT_MS;
    const result = await stream().append(part, { deadlineElapsedMs });
    return result.kind === "appended";
  }
}
