/**
 * An entry VM as the watcher of one engine or of the cache store: its cache
 * view, its fair queue and the reports it sends.
 *
 * @module
 */

import { brandId } from "@endivebend/types";
import type { BackendServerId, BlockHash, RequestId } from "@endivebend/types";
import { FairQueue } from "@endivebend/queueing";
import type {
  FairQueueOptions,
  Permit,
  QueueEntry,
} from "@endivebend/queueing";
import { EngineCacheView } from "@endivebend/routing";
import type { BlockReport, CacheChange, EngineTag } from "@endivebend/routing";
import type { EventFeed } from "./event_feed.ts";
import { queueOptionsOf } from "./product_settings.ts";
import type { World } from "./world.ts";

/** Time to fetch the whole set of an engine's blocks. */
const SNAPSHOT_MS = 20;

/** What a watcher tells the routers of its engine. */
export interface WatcherLoad {
  readonly tag: EngineTag;
  readonly takesNewWork: boolean;
  /** Waiting in the queue or being prefilled. */
  readonly queuedPrefillTokens: number;
  readonly asOfMs: number;
}

/** The answer to a request for a slot. */
export type SlotAnswer =
  | {
    readonly kind: "permit";
    readonly permit: Permit;
    readonly load: WatcherLoad;
  }
  | { readonly kind: "refused"; readonly code: string }
  | { readonly kind: "moved"; readonly load: WatcherLoad };

/** A request for a slot. */
export interface SlotRequest {
  readonly entry: QueueEntry;
  /** Above this expected wait the router would rather choose again. */
  readonly maxWaitMs: number;
}

/** One engine's watcher. */
export class WatcherRole {
  readonly engineId: string;
  readonly view: EngineCacheView;
  #queue: FairQueue | undefined;
  #takesNewWork = true;
  #isStopped = false;
  #wakeAtMs = Infinity;
  readonly #answers = new Map<RequestId, (answer: SlotAnswer) => void>();
  readonly #world: World;
  readonly #queueOptions: Partial<FairQueueOptions>;
  readonly #feed: EventFeed;
  readonly #report: (report: BlockReport) => void;

  constructor(engineId: string, options: {
    readonly world: World;
    readonly queueOptions: Partial<FairQueueOptions>;
    readonly report: (report: BlockReport) => void;
  }) {
    this.engineId = engineId;
    this.view = new EngineCacheView(brandId<BackendServerId>(engineId));
    this.#world = options.world;
    this.#queueOptions = options.queueOptions;
    this.#report = options.report;
    this.#feed = options.world.feeds.get(engineId)!;
    this.#resetQueue();
    this.#takesNewWork = options.world.engines.get(engineId)?.isUp ?? true;
    this.#feed.onBatch = (batch) => this.#change(this.view.applyEvents(batch));
    this.#fetchSnapshot();
  }

  /** The VM goes down or another one watches; waiting routers notice. */
  stop(): void {
    this.#isStopped = true;
    this.#moveAll();
  }

  /** Tells the homes everything, because there are other homes now. */
  reportAll(): void {
    this.#report({
      ...this.view.tag,
      stored: [...this.view.blocks()],
      evicted: [],
    });
  }

  load(): WatcherLoad {
    const queue = this.#queue;
    const { nowMs } = this.#world.time;
    const queued = queue === undefined
      ? 0
      : queue.waitingTokens + queue.remainingPrefillTokens(nowMs);
    return {
      tag: this.view.tag,
      takesNewWork: this.#takesNewWork,
      queuedPrefillTokens: queued,
      asOfMs: this.#world.time.nowMs,
    };
  }

  acquire(slot: SlotRequest, answer: (answer: SlotAnswer) => void): void {
    const { entry, maxWaitMs } = slot;
    const { nowMs } = this.#world.time;
    const waitMs = this.#queue!.expectedWaitMs(entry, nowMs);
    const isBetterElsewhere = this.#isStopped || !this.#takesNewWork ||
      waitMs > maxWaitMs;
    if (isBetterElsewhere) {
      answer({ kind: "moved", load: this.load() });
      return;
    }
    const result = this.#queue!.enqueue(entry, this.#world.time.nowMs);
    if (result.kind === "refused") {
      answer(result);
      return;
    }
    this.#answers.set(entry.requestId, answer);
    this.pump();
  }

  markPrefilled(requestId: RequestId): void {
    this.#queue!.markPrefilled(requestId, this.#world.time.nowMs);
    this.pump();
  }

  release(requestId: RequestId): void {
    this.#queue!.release(requestId);
    this.pump();
  }

  /** The connection to the engine broke: what waits goes elsewhere. */
  engineDown(): void {
    this.#takesNewWork = false;
    this.view.discard();
    this.#resetQueue();
    this.#moveAll();
  }

  engineUp(): void {
    this.#takesNewWork = true;
  }

  pump(): void {
    if (this.#isStopped || this.#queue === undefined) {
      return;
    }
    const { nowMs } = this.#world.time;
    const plan = this.#queue.grantPermits(nowMs, {
      takesNewWork: this.#takesNewWork,
    });
    for (const { requestId } of plan.expired) {
      this.#answer(requestId, { kind: "refused", code: "deadline_exceeded" });
    }
    for (const permit of plan.permits) {
      const load = this.load();
      this.#answer(permit.requestId, { kind: "permit", permit, load });
    }
    this.#scheduleWake();
  }

  #moveAll(): void {
    const waiting = [...this.#answers.values()];
    this.#answers.clear();
    waiting.forEach((answer) => answer({ kind: "moved", load: this.load() }));
  }

  #answer(requestId: RequestId, answer: SlotAnswer): void {
    const send = this.#answers.get(requestId);
    this.#answers.delete(requestId);
    send?.(answer);
  }

  #scheduleWake(): void {
    const { nowMs } = this.#world.time;
    const wakeMs = this.#queue!.nextWakeMs(nowMs);
    const isScheduled = this.#wakeAtMs > nowMs && this.#wakeAtMs !== Infinity;
    if (wakeMs === undefined || (isScheduled && this.#wakeAtMs <= wakeMs)) {
      return;
    }
    this.#wakeAtMs = wakeMs;
    this.#world.time.at(wakeMs, () => this.pump());
  }

  #resetQueue(): void {
    if (this.#world.engines.has(this.engineId)) {
      this.#queue = new FairQueue({
        ...queueOptionsOf(this.#world, this.engineId),
        ...this.#queueOptions,
      });
    }
  }

  #change(change: CacheChange): void {
    if (this.#isStopped) {
      return;
    }
    if (change.needsSnapshot) {
      this.#fetchSnapshot();
    }
    this.#report({ ...this.view.tag, ...change });
  }

  #fetchSnapshot(): void {
    this.#world.time.after(SNAPSHOT_MS, () => {
      const engine = this.#world.engines.get(this.engineId);
      const isAnswering = engine === undefined || engine.isUp;
      if (!this.#isStopped && isAnswering) {
        this.#change(this.view.replaceAll(this.#feed.snapshot()));
      }
    });
  }
}

/** The part of a report that concerns one prefix home. */
export function filterReport(
  report: BlockReport,
  isHome: (block: BlockHash) => boolean,
): BlockReport {
  return {
    ...report,
    stored: report.stored.filter(isHome),
    evicted: report.evicted.filter(isHome),
  };
}
