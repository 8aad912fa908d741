/**
 * A watcher's copy of the set of blocks that one engine caches.
 *
 * @module
 */

import { brandId } from "@endivebend/types";
import type {
  BackendServerId,
  BlockHash,
  WeightsVersion,
} from "@endivebend/types";
import type { EngineTag } from "./engine_tag.ts";

/** One cache event of an engine. */
export interface CacheEvent {
  readonly seq: number;
  readonly kind: "stored" | "evicted";
  readonly blocks: readonly BlockHash[];
}

/** The answer of `GET /v1/cache/events`. */
export interface CacheEventBatch {
  readonly incarnation: string;
  readonly weightsVersion: WeightsVersion;
  readonly events: readonly CacheEvent[];
  /** One more than the newest sequence number that the engine has assigned. */
  readonly nextSeq: number;
}

/** The answer of `GET /v1/cache/blocks`. */
export interface CacheSnapshot {
  readonly incarnation: string;
  readonly weightsVersion: WeightsVersion;
  /** Sequence number of the last event that the snapshot includes. */
  readonly seq: number;
  readonly blocks: readonly BlockHash[];
}

/** What a batch or snapshot changed; reported to the owners of the prefixes. */
export interface CacheChange {
  /** True when everything known about the engine before is invalid. */
  readonly reset: boolean;
  readonly stored: readonly BlockHash[];
  readonly evicted: readonly BlockHash[];
  /** True when events are missing and a snapshot must be fetched. */
  readonly needsSnapshot: boolean;
}

const NO_CHANGE: CacheChange = {
  reset: false,
  stored: [],
  evicted: [],
  needsSnapshot: false,
};

/**
 * Set of the blocks of one engine, built from its events in order of `seq`.
 *
 * @example
 * ```ts
 * const view = new EngineCacheView(engineId);
 * const change = view.applyEvents(batch);
 * if (change.needsSnapshot) view.replaceAll(await fetchBlocks(engineId));
 * ```
 */
export class EngineCacheView {
  readonly engine: BackendServerId;
  #incarnation = "";
  #weightsVersion = brandId<WeightsVersion>("");
  #lastSeq = 0;
  #hasGap = false;
  #blocks = new Set<BlockHash>();

  constructor(engine: BackendServerId) {
    this.engine = engine;
  }

  /** The incarnation and weights version that the blocks belong to. */
  get tag(): EngineTag {
    return {
      engine: this.engine,
      incarnation: this.#incarnation,
      weightsVersion: this.#weightsVersion,
    };
  }

  /** The value for `after` in the next `GET /v1/cache/events`. */
  get lastSeq(): number {
    return this.#lastSeq;
  }

  /** True while events are missing. */
  get hasGap(): boolean {
    return this.#hasGap;
  }

  get size(): number {
    return this.#blocks.size;
  }

  has(block: BlockHash): boolean {
    return this.#blocks.has(block);
  }

  blocks(): IterableIterator<BlockHash> {
    return this.#blocks.values();
  }

  /**
   * Applies a batch of events and skips those already applied. A missing
   * sequence number opens a gap; later events still apply. During a gap the
   * view may contain evicted blocks. Relying on those only costs time, so the
   * view is kept until a snapshot closes the gap or `discard` is called.
   */
  applyEvents(batch: CacheEventBatch): CacheChange {
    const reset = this.#adoptTag(batch);
    const stored = new Set<BlockHash>();
    const evicted = new Set<BlockHash>();
    const inOrder = [...batch.events].sort((a, b) => a.seq - b.seq);
    for (const event of inOrder) {
      this.#applyEvent(event, { stored, evicted });
    }
    if (batch.nextSeq - 1 > this.#lastSeq) {
      this.#hasGap = true;
      this.#lastSeq = batch.nextSeq - 1;
    }
    return {
      reset,
      stored: [...stored],
      evicted: [...evicted],
      needsSnapshot: this.#hasGap,
    };
  }

  /**
   * Replaces the set by a snapshot and closes a gap. Ignores a snapshot that is
   * older than the last applied event.
   */
  replaceAll(snapshot: CacheSnapshot): CacheChange {
    const reset = this.#adoptTag(snapshot);
    if (snapshot.seq < this.#lastSeq) {
      return { ...NO_CHANGE, reset, needsSnapshot: this.#hasGap };
    }
    const next = new Set(snapshot.blocks);
    const stored = [...next].filter((block) => !this.#blocks.has(block));
    const evicted = [...this.#blocks].filter((block) => !next.has(block));
    this.#blocks = next;
    this.#lastSeq = snapshot.seq;
    this.#hasGap = false;
    return { reset, stored, evicted, needsSnapshot: false };
  }

  /** Clears the view when the engine is gone or a gap could not be closed. */
  discard(): CacheChange {
    this.#clear();
    this.#incarnation = "";
    this.#weightsVersion = brandId<WeightsVersion>("");
    return { ...NO_CHANGE, reset: true };
  }

  #adoptTag(source: Pick<CacheSnapshot, "incarnation" | "weightsVersion">) {
    const isSame = source.incarnation === this.#incarnation &&
      source.weightsVersion === this.#weightsVersion;
    if (isSame) {
      return false;
    }
    this.#clear();
    this.#incarnation = source.incarnation;
    this.#weightsVersion = source.weightsVersion;
    return true;
  }

  #clear(): void {
    this.#blocks = new Set();
    this.#lastSeq = 0;
    this.#hasGap = false;
  }

  #applyEvent(
    event: CacheEvent,
    changed: { stored: Set<BlockHash>; evicted: Set<BlockHash> },
  ): void {
    if (event.seq <= this.#lastSeq) {
      return;
    }
    if (event.seq !== this.#lastSeq + 1) {
      this.#hasGap = true;
    }
    this.#lastSeq = event.seq;
    const isStored = event.kind === "stored";
    for (const block of event.blocks) {
      const [addedTo, removedFrom] = isStored
        ? [changed.stored, changed.evicted]
        : [changed.evicted, changed.stored];
      addedTo.add(block);
      removedFrom.delete(block);
      if (isStored) {
        this.#blocks.add(block);
      } else {
        this.#blocks.delete(block);
      }
    }
  }
}
