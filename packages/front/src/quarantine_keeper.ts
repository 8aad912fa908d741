/**
 * Shares what this daemon knows of crashes with its peers, and stores the
 * quarantines that follow from it.
 *
 * Every daemon decides by itself from the same evidence, so that a quarantine
 * holds everywhere within a gossip round, also while the store is away. The
 * records in the store are for daemons that start later, and for those that
 * are cut off from the others.
 *
 * @module
 */

import { type Clock, type Scheduler, steadyMs } from "@endivebend/clock";
import {
  eraOf,
  type GossipMessage,
  type KeyedRecord,
  offsetOf,
} from "@endivebend/fleet";
import {
  CrashEvidence,
  decodeQuarantine,
  encodeQuarantine,
  PromptQuarantine,
  type Quarantine,
  type QuarantineChange,
  type SuspectKey,
} from "@endivebend/quarantine";
import { CrashGuard, type ServerEndCheck } from "@endivebend/request-path";
import { rankByRendezvous } from "@endivebend/routing";
import type { RateLimitedLog, TextMetrics } from "@endivebend/telemetry";
import type { VmId } from "@endivebend/types";
import type { RecordStore } from "./ports.ts";

/** Dependencies of the keeper. */
export interface QuarantineKeeperOptions {
  readonly self: VmId;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly store: Pick<RecordStore, "putQuarantine" | "isReachable">;
  readonly endCheck: ServerEndCheck;
  readonly log: RateLimitedLog;
  readonly metrics: TextMetrics;
  /** The other reachable daemons. */
  peers(): readonly VmId[];
  /** Lets every daemon have a gossip message soon. */
  announce(): void;
}

const STORE_INTERVAL_MS = 500;

/** What this daemon knows of crashes and quarantines. */
export class QuarantineKeeper {
  readonly guard: CrashGuard;
  readonly #options: QuarantineKeeperOptions;
  readonly #evidence = new CrashEvidence();
  readonly #quarantine: PromptQuarantine;
  /** Strikes of the newest stored record of each segment. */
  readonly #storedStrikes = new Map<SuspectKey, number>();
  #isStoring = false;
  #cancelTick = () => {};

  constructor(options: QuarantineKeeperOptions) {
    this.#options = options;
    this.#quarantine = new PromptQuarantine({
      evidence: this.#evidence,
      mayTry: (key) => this.#isFirstFor(key),
      changed: (change) => this.#changed(change),
    });
    this.guard = new CrashGuard({
      endCheck: options.endCheck,
      evidence: this.#evidence,
      quarantine: this.#quarantine,
      nowMs: () => this.#nowMs(),
      crashSeen: options.announce,
    });
  }

  start(): void {
    this.#tick();
  }

  stop(): void {
    this.#cancelTick();
  }

  /** The fields of a gossip message that tell what this daemon has seen. */
  composeReport(): Required<
    Pick<GossipMessage, "crashes" | "answeredAgesMs">
  > {
    const nowMs = this.#nowMs();
    return {
      crashes: this.#evidence.ownReports(nowMs),
      answeredAgesMs: this.#evidence.ownAnswerAges(nowMs),
    };
  }

  /** Applies what a peer has seen, from a message received `ageMs` ago. */
  applyReport(message: GossipMessage, ageMs: number): void {
    const { crashes = [], answeredAgesMs = {} } = message;
    if (crashes.length === 0 && Object.keys(answeredAgesMs).length === 0) {
      return;
    }
    const nowMs = this.#nowMs();
    const sentAtMs = nowMs - ageMs;
    const hasNew = this.#evidence.applyPeer(
      { crashes, answeredAgesMs },
      sentAtMs,
    );
    if (hasNew) this.#quarantine.evaluate(nowMs);
  }

  /** Notes what the store has; what it lacks or has in excess is mended. */
  noteStored(records: readonly KeyedRecord[]): void {
    this.#storedStrikes.clear();
    for (const { key, value } of records) {
      const record = value && decodeQuarantine(value);
      if (record === undefined) continue;
      this.#storedStrikes.set(key as SuspectKey, record.strikes);
    }
  }

  /** Applies stored records, read here or by a peer. */
  applyRecords(records: readonly KeyedRecord[]): void {
    const nowMs = this.#nowMs();
    const wallMs = this.#options.clock.wallMs();
    for (const { key: name, value, position } of records) {
      const key = name as SuspectKey;
      const record = value && decodeQuarantine(value);
      if (record !== undefined) {
        this.#storedStrikes.set(key, record.strikes);
        this.#quarantine.applyRecord(key, record, { nowMs, wallMs });
      } else if (value === undefined) {
        this.#storedStrikes.delete(key);
        this.#quarantine.release(key);
      } else {
        this.#options.log.decision("malformed_record", {
          key,
          offset: offsetOf(position),
          era: eraOf(position),
        });
      }
    }
  }

  #nowMs(): number {
    return steadyMs(this.#options.clock);
  }

  /** One daemon tries and stores a segment; two for a moment do no harm. */
  #isFirstFor(key: SuspectKey): boolean {
    const { self, peers } = this.#options;
    return rankByRendezvous(key, [self, ...peers()])[0] === self;
  }

  #changed(change: QuarantineChange): void {
    const { log, metrics } = this.#options;
    const { kind, key } = change;
    metrics.count("quarantines", { change: kind });
    if (kind === "released") return log.stateChange("quarantine", change);
    const { strikes, untilMs } = change;
    const termMs = Math.round(untilMs - this.#nowMs());
    log.stateChange("quarantine", { kind, key, strikes, termMs });
  }

  #tick(): void {
    const { scheduler, store } = this.#options;
    this.#cancelTick = scheduler.after(STORE_INTERVAL_MS, () => this.#tick());
    const nowMs = this.#nowMs();
    if (this.#evidence.isSettling(nowMs)) this.#quarantine.evaluate(nowMs);
    if (this.#isStoring || !store.isReachable) return;
    const entries = this.#quarantine.entries();
    const changed = entries.find(({ key, strikes }) =>
      (this.#storedStrikes.get(key) ?? 0) < strikes && this.#isFirstFor(key)
    );
    const released = [...this.#storedStrikes.keys()].find((stored) =>
      !entries.some(({ key }) => key === stored) && this.#isFirstFor(stored)
    );
    if (changed !== undefined) void this.#put(changed.key, changed);
    else if (released !== undefined) void this.#put(released, undefined);
  }

  /** Stores a quarantine, or removes its record when it was released. */
  async #put(
    key: SuspectKey,
    quarantine: Quarantine | undefined,
  ): Promise<void> {
    const { clock, store, log } = this.#options;
    this.#isStoring = true;
    try {
      const record = quarantine && encodeQuarantine({
        strikes: quarantine.strikes,
        untilWallMs: Math.max(
          1,
          Math.round(clock.wallMs() + quarantine.untilMs - this.#nowMs()),
        ),
      });
      await store.putQuarantine(key, record);
      if (quarantine === undefined) this.#storedStrikes.delete(key);
      else this.#storedStrikes.set(key, quarantine.strikes);
    } catch (caught) {
      const reason = (caught as Error).message;
      log.decision("quarantine_not_stored", { key, reason });
    } finally {
      this.#isStoring = false;
    }
  }
}
