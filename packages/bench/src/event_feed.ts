/**
 * The cache events of one engine or store as their reader gets them: late,
 * sometimes lost, with sequence numbers that show the loss.
 *
 * @module
 */

import { brandId } from "@endivebend/types";
import type { BlockHash, WeightsVersion } from "@endivebend/types";
import type { CacheEventBatch, CacheSnapshot } from "@endivebend/routing";
import type { Random } from "./random.ts";
import type { TraceNetwork } from "./trace.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** The version of weights that all engines of a trace run. */
export const WEIGHTS = brandId<WeightsVersion>("w1");

/** What a feed reads from. */
export interface FeedSource {
  readonly incarnation: number;
  readonly cachedBlocks: readonly BlockHash[];
}

/** Sends the events of one source to whoever listens. */
export class EventFeed {
  readonly #source: FeedSource;
  readonly #time: VirtualTime;
  readonly #network: TraceNetwork;
  readonly #random: Random;
  #seq = 0;
  #incarnation = 1;
  #lostUntilMs = 0;
  #deliverAtMs = 0;
  onBatch: (batch: CacheEventBatch) => void = () => {};

  constructor(source: FeedSource, options: {
    readonly time: VirtualTime;
    readonly network: TraceNetwork;
    readonly random: Random;
  }) {
    this.#source = source;
    this.#time = options.time;
    this.#network = options.network;
    this.#random = options.random;
  }

  /** Events until then do not arrive. */
  loseUntil(untilMs: number): void {
    this.#lostUntilMs = untilMs;
  }

  emit(kind: "stored" | "evicted", block: BlockHash): void {
    this.#adoptIncarnation();
    const seq = ++this.#seq;
    const isLost = this.#time.nowMs < this.#lostUntilMs ||
      this.#random.fraction() < this.#network.eventLossFraction;
    if (!isLost) {
      this.#deliver([{ seq, kind, blocks: [block] }]);
    }
  }

  /** Tells the reader of a restart even when no block is stored yet. */
  announceRestart(): void {
    this.#adoptIncarnation();
    this.#deliver([]);
  }

  /** The whole set as of now. */
  snapshot(): CacheSnapshot {
    this.#adoptIncarnation();
    return {
      ...this.#tag(),
      seq: this.#seq,
      blocks: this.#source.cachedBlocks,
    };
  }

  #deliver(events: CacheEventBatch["events"]): void {
    const batch = { ...this.#tag(), events, nextSeq: this.#seq + 1 };
    const delayMs = this.#network.eventDelayMs +
      this.#random.exponential(this.#network.eventJitterMs);
    // One connection: later events do not overtake earlier ones.
    this.#deliverAtMs = Math.max(
      this.#deliverAtMs,
      this.#time.nowMs + delayMs,
    );
    this.#time.at(this.#deliverAtMs, () => this.onBatch(batch));
  }

  #tag() {
    return { incarnation: `i${this.#incarnation}`, weightsVersion: WEIGHTS };
  }

  #adoptIncarnation(): void {
    if (this.#source.incarnation !== this.#incarnation) {
      this.#incarnation = this.#source.incarnation;
      this.#seq = 0;
    }
  }
}
