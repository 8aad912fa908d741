/**
 * The fold of the `commitments` stream.
 *
 * @module
 */

import type { LogRecord } from "@endivebend/types";
import { AnswerStore } from "./answers.ts";
import {
  addDeadIntent,
  maySettle,
  NameInterner,
  NO_INTENTS,
} from "./entries.ts";
import {
  type CommitmentEntry,
  type CommitmentRecord,
  type CommitmentRecordOf,
  commitmentRecordSchema,
  isSameWriter,
} from "./records.ts";

/** Bounds of the state. */
export interface CommitmentSettings {
  /** How long the platform's log keeps a record at least. */
  readonly retentionMs: number;
  /** Bound on the keys held in memory. */
  readonly maxKeys: number;
  /** Bound on the bytes of recorded answers held in memory. */
  readonly maxAnswersBytes: number;
}

/**
 * Part of the log's retention for which a key is held. A VM that starts late
 * reads the whole retention, so it sees every record of the minutes before the
 * oldest key that it holds, and comes to the same verdict on that key.
 */
export const KEY_RETENTION_FRACTION = 0.9;

/** The content of a state. */
export interface CommitmentSnapshot {
  readonly entries: readonly CommitmentEntry[];
  readonly logTimeMs: number;
  readonly horizonMs: number | undefined;
}

/**
 * What the log says about each key. The verdict on an intent depends on log
 * order only: the first intent for a key, or the first one after an `aborted`
 * record, holds the key; every other intent is dead from the start.
 */
export class CommitmentState {
  readonly settings: CommitmentSettings;
  /** In the order of their last record. */
  readonly #entries = new Map<string, CommitmentEntry>();
  readonly #answers: AnswerStore;
  readonly #nameInterner = new NameInterner();
  #logTimeMs = 0;
  #horizonMs: number | undefined;
  #malformedRecords = 0;

  constructor(settings: CommitmentSettings) {
    this.settings = settings;
    this.#answers = new AnswerStore(settings.maxAnswersBytes);
  }

  /** Time of the newest record, by the platform's clock. */
  get logTimeMs(): number {
    return this.#logTimeMs;
  }

  /**
   * Time up to which records may be missing: pushed out by the bound on keys, or
   * dropped by the log before they were read. A key that may be as old as this
   * is not known to be new.
   */
  get horizonMs(): number | undefined {
    return this.#horizonMs;
  }

  get keyCount(): number {
    return this.#entries.size;
  }

  get answersBytes(): number {
    return this.#answers.bytes;
  }

  /** Records that could not be read; they change nothing. */
  get malformedRecords(): number {
    return this.#malformedRecords;
  }

  get(keyDigest: string): Readonly<CommitmentEntry> | undefined {
    return this.#entries.get(keyDigest);
  }

  /** All entries, the one with the oldest last record first. */
  entries(): IterableIterator<Readonly<CommitmentEntry>> {
    return this.#entries.values();
  }

  /** Notes that records up to a time, by the platform's clock, are missing. */
  raiseHorizon(untilMs: number): void {
    this.#horizonMs = Math.max(this.#horizonMs ?? 0, untilMs);
  }

  /** Applies one record; returns the key digests that it touched. */
  apply(record: LogRecord): readonly string[] {
    this.#logTimeMs = Math.max(this.#logTimeMs, record.appendedAtMs);
    this.#expire();
    const parsed = commitmentRecordSchema.safeParse(record.value);
    if (!parsed.success) {
      this.#malformedRecords++;
      return [];
    }
    const value = parsed.data;
    // The table is typed per kind; the value's kind selects the handler.
    const handler = this.#handlers[value.kind] as (
      value: CommitmentRecord,
    ) => void;
    handler(value);
    if (value.kind !== "snapshot_part") return [value.keyDigest];
    return value.entries.map((entry) => entry.keyDigest);
  }

  /**
   * Takes over the entries of a snapshot whose keys are not known already. The
   * order by time is restored, so that these entries expire when they do on the
   * VMs that read the original records.
   */
  mergeSnapshot(snapshot: CommitmentSnapshot): void {
    const { horizonMs, logTimeMs } = snapshot;
    this.#logTimeMs = Math.max(this.#logTimeMs, logTimeMs);
    if (horizonMs !== undefined) this.raiseHorizon(horizonMs);
    const fresh = snapshot.entries.filter((entry) =>
      !this.#entries.has(entry.keyDigest)
    );
    const all = [...this.#entries.values(), ...fresh];
    all.sort((a, b) => a.atMs - b.atMs);
    this.#entries.clear();
    for (const entry of all) this.#store({ ...entry });
    this.#expire();
  }

  readonly #handlers: {
    readonly [Kind in CommitmentRecord["kind"]]: (
      value: CommitmentRecordOf<Kind>,
    ) => void;
  } = {
    intent: (value) => this.#applyIntent(value),
    outcome: (value) => this.#applyOutcome(value),
    aborted: (value) => this.#applyAborted(value),
    snapshot_part: ({ entries }) => {
      this.mergeSnapshot({ entries, logTimeMs: 0, horizonMs: undefined });
    },
  };

  #applyIntent(value: CommitmentRecordOf<"intent">): void {
    const entry = this.#entries.get(value.keyDigest);
    const intentId = value.recordId;
    // A lost answer may put a record into the log twice.
    if (entry?.intentId === intentId) return;
    if (entry?.deadIntentIds.includes(intentId)) return;
    if (entry !== undefined && entry.status !== "free") {
      addDeadIntent(entry, intentId);
      return;
    }
    this.#store({
      ...this.#nameInterner.holderFields(value, intentId),
      status: "open",
      atMs: this.#logTimeMs,
      attempts: (entry?.attempts ?? 0) + 1,
      deadIntentIds: entry?.deadIntentIds ?? NO_INTENTS,
    });
  }

  /**
   * An outcome of the holder settles the key. Any other answer is proof that
   * the key was dispatched, even when its intent is out of this VM's log.
   */
  #applyOutcome(value: CommitmentRecordOf<"outcome">): void {
    const entry = this.#entries.get(value.keyDigest);
    if (entry?.status === "settled") return;
    const isHolder = entry?.status === "open" &&
      entry.intentId === value.intentId;
    if (isHolder && !maySettle(entry, value)) return;
    // A restarted VM may call an intent unknown that its predecessor aborted.
    const isDead = entry?.deadIntentIds.includes(value.intentId) ?? false;
    if (isDead && value.outcome.result === "unknown") return;
    this.#store({
      ...this.#nameInterner.holderFields(value, value.intentId),
      status: "settled",
      atMs: this.#logTimeMs,
      attempts: Math.max(entry?.attempts ?? 0, 1),
      deadIntentIds: entry?.deadIntentIds ?? NO_INTENTS,
      outcome: value.outcome,
    });
  }

  #applyAborted(value: CommitmentRecordOf<"aborted">): void {
    const entry = this.#entries.get(value.keyDigest);
    if (entry?.deadIntentIds.includes(value.intentId)) return;
    if (entry === undefined || entry.intentId !== value.intentId) {
      this.#rememberAborted(value, entry);
      return;
    }
    if (entry.status !== "open" || !isSameWriter(entry, value)) return;
    this.#store({
      ...entry,
      status: "free",
      atMs: this.#logTimeMs,
      deadIntentIds: [...entry.deadIntentIds, value.intentId],
    });
  }

  /** An aborted intent may reach the log after its `aborted` record. */
  #rememberAborted(
    value: CommitmentRecordOf<"aborted">,
    entry: CommitmentEntry | undefined,
  ): void {
    if (entry !== undefined) {
      addDeadIntent(entry, value.intentId);
      return;
    }
    this.#store({
      ...this.#nameInterner.holderFields(value, ""),
      status: "free",
      atMs: this.#logTimeMs,
      attempts: 0,
      deadIntentIds: [value.intentId],
    });
  }

  #store(entry: CommitmentEntry): void {
    this.#entries.delete(entry.keyDigest);
    this.#entries.set(entry.keyDigest, entry);
    this.#answers.hold(entry, (keyDigest) => this.#entries.get(keyDigest));
    this.#evict();
  }

  #evict(): void {
    for (const entry of this.#entries.values()) {
      if (this.#entries.size <= this.settings.maxKeys) return;
      this.#remove(entry);
      this.raiseHorizon(entry.atMs);
    }
  }

  #expire(): void {
    const keyRetentionMs = this.settings.retentionMs * KEY_RETENTION_FRACTION;
    const oldestMs = this.#logTimeMs - keyRetentionMs;
    if (this.#horizonMs !== undefined && this.#horizonMs < oldestMs) {
      this.#horizonMs = undefined;
    }
    for (const entry of this.#entries.values()) {
      if (entry.atMs >= oldestMs) return;
      this.#remove(entry);
    }
  }

  #remove(entry: CommitmentEntry): void {
    this.#entries.delete(entry.keyDigest);
    this.#answers.drop(entry.keyDigest);
  }
}
