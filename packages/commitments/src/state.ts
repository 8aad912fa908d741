/**
 * State derived from the `commitments` stream.
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
  /** Minimum time for which the platform's log keeps a record. */
  readonly retentionMs: number;
  /** Bound on the number of keys in memory. */
  readonly maxKeys: number;
  /** Bound on the bytes of recorded answers in memory. */
  readonly maxAnswersBytes: number;
}

/**
 * Share of the log's retention for which a key is kept. A VM that starts later
 * reads the whole retention. So it also reads the records from the minutes
 * before the oldest key that it keeps, and reaches the same verdict on that key.
 */
export const KEY_RETENTION_FRACTION = 0.9;

/** The content of a state, as written to a snapshot. */
export interface CommitmentSnapshot {
  readonly entries: readonly CommitmentEntry[];
  readonly logTimeMs: number;
  readonly horizonMs: number | undefined;
}

/**
 * State of each key according to the log. The verdict on an intent depends only
 * on the order of the log: the first intent for a key, or the first one after an
 * `aborted` record, holds the key. Every other intent is dead: it never holds
 * the key.
 */
export class CommitmentState {
  readonly settings: CommitmentSettings;
  /** Entries by key digest, in the order of their last record. */
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
   * Time up to which records may be missing, on the platform's clock: evicted
   * for the bound on keys, or deleted from the log before they were read. A key
   * that may be this old can't be taken for new. Undefined when none is missing.
   */
  get horizonMs(): number | undefined {
    return this.#horizonMs;
  }

  /** Number of keys in memory. */
  get keyCount(): number {
    return this.#entries.size;
  }

  /** Bytes of the recorded answers in memory. */
  get answersBytes(): number {
    return this.#answers.bytes;
  }

  /** Number of records that could not be parsed; they change nothing. */
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

  /** Marks records up to a time on the platform's clock as possibly missing. */
  raiseHorizon(untilMs: number): void {
    this.#horizonMs = Math.max(this.#horizonMs ?? 0, untilMs);
  }

  /** Applies one record; returns the digests of the keys that it concerns. */
  apply(record: LogRecord): readonly string[] {
    this.#logTimeMs = Math.max(this.#logTimeMs, record.appendedAtMs);
    this.#expire();
    const parsed = commitmentRecordSchema.safeParse(record.value);
    if (!parsed.success) {
      this.#malformedRecords++;
      return [];
    }
    const value = parsed.data;
    // The handlers are typed by kind, and TypeScript can't relate the handler's
    // type to the type of the value that selected it.
    const handler = this.#handlers[value.kind] as (
      value: CommitmentRecord,
    ) => void;
    handler(value);
    if (value.kind !== "snapshot_part") return [value.keyDigest];
    return value.entries.map((entry) => entry.keyDigest);
  }

  /**
   * Adds the entries of a snapshot whose keys are not known yet. All entries are
   * sorted by time, so that these expire when they do on the VMs that read the
   * original records.
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
    // After a lost answer the writer appends a record again, so the log may hold
    // it twice.
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
   * An outcome of the holder settles the key. An answer to another intent also
   * settles it: it proves that the call was dispatched, even when this VM has
   * not read the intent.
   */
  #applyOutcome(value: CommitmentRecordOf<"outcome">): void {
    const entry = this.#entries.get(value.keyDigest);
    if (entry?.status === "settled") return;
    const isHolder = entry?.status === "open" &&
      entry.intentId === value.intentId;
    if (isHolder && !maySettle(entry, value)) return;
    // A restarted VM may record `unknown` for an intent that its predecessor
    // aborted.
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

  /** Handles an `aborted` record that comes before its intent in the log. */
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
