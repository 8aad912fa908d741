/**
 * Intents that earlier incarnations of this VM's daemon left open.
 *
 * @module
 */

import type { CommitmentEntry } from "@endivebend/commitments";
import type { FollowedStream, Identity, Scheduler } from "../ports.ts";
import type { RecordWriter } from "./record_writer.ts";

const CATCH_UP_CHECK_INTERVAL_MS = 200;

interface OrphanedIntentsOptions {
  readonly identity: Identity;
  readonly stream: FollowedStream;
  readonly scheduler: Scheduler;
}

/**
 * Records the outcome `unknown` for intents that an earlier incarnation left
 * open. This daemon has bound the VM's address, which proves that the earlier
 * process has ended, so that no other daemon can record their outcome. It
 * waits until the stream was read to its end, where most of these intents turn
 * out to have an outcome.
 */
export class OrphanedIntents {
  readonly #options: OrphanedIntentsOptions;
  readonly #writer: RecordWriter;
  readonly #openByKey = new Map<string, Readonly<CommitmentEntry>>();
  #cancelCheck: () => void = () => {};

  constructor(options: OrphanedIntentsOptions, writer: RecordWriter) {
    this.#options = options;
    this.#writer = writer;
  }

  /** Checks until the stream was read to its end. */
  scheduleCheck(): void {
    const { scheduler } = this.#options;
    this.#cancelCheck = scheduler.after(CATCH_UP_CHECK_INTERVAL_MS, () => {
      if (!this.settleWhenCaughtUp()) this.scheduleCheck();
    });
  }

  stop(): void {
    this.#cancelCheck();
  }

  /** Adds or removes an intent by the present log entry of its key. */
  trackEntry(entry: Readonly<CommitmentEntry>): void {
    const { vmId, incarnation } = this.#options.identity;
    const isLeftOpen = entry.status === "open" && entry.vmId === vmId &&
      entry.incarnation !== incarnation;
    if (isLeftOpen) this.#openByKey.set(entry.keyDigest, entry);
    else this.#openByKey.delete(entry.keyDigest);
  }

  /** Settles all tracked intents; false until the stream has been read. */
  settleWhenCaughtUp(): boolean {
    if (!this.#options.stream.isCaughtUp()) return false;
    for (const entry of this.#openByKey.values()) {
      this.#recordUnknownOutcome(entry);
    }
    this.#openByKey.clear();
    return true;
  }

  #recordUnknownOutcome(entry: Readonly<CommitmentEntry>): void {
    const { vmId, incarnation } = this.#options.identity;
    const { keyDigest, bodyDigest, intentId } = entry;
    void this.#writer.appendWithRetry({
      recordId: `${vmId}/${incarnation}/left-open/${intentId}`,
      kind: "outcome",
      keyDigest,
      bodyDigest,
      vmId,
      incarnation,
      intentId,
      outcome: { result: "unknown" },
    });
  }
}
