/**
 * The simulated deployment that every policy runs on.
 *
 * @module
 */

import type { BlockHash } from "@endivebend/types";
import { EngineModel } from "./engine_model.ts";
import type { EngineJob } from "./engine_model.ts";
import { EventFeed } from "./event_feed.ts";
import type { RunMetrics } from "./metrics.ts";
import { Random } from "./random.ts";
import { StoreModel } from "./store_model.ts";
import type { RequestEvent, TraceHeader } from "./trace.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** Keeps the feeds' random numbers apart from the trace's. */
const FEED_SEED_OFFSET = 7_919;
/** After this time a router knows that an engine's connection was reset. */
const RESET_DETECT_MS = 5;

/** A request on its way through the system. */
export interface SimRequest {
  readonly event: RequestEvent;
  readonly id: string;
  readonly team: string;
  readonly router: string;
  readonly blocks: readonly BlockHash[];
  readonly promptTokens: number;
  readonly deadlineMs: number;
  hasFirstToken: boolean;
  isOver: boolean;
  /** Set while the request is at an engine. */
  engine: EngineModel | undefined;
  attempts: number;
}

/** How a policy sends a request to an engine. */
export interface Dispatch {
  readonly engine: EngineModel;
  readonly priority?: number;
  readonly importFrom?: EngineJob["importFrom"];
  /** One way, from the router to the engine and back. */
  readonly networkMs: number;
  readonly onFirstToken?: () => void;
  readonly onEnd?: () => void;
  /** The engine crashed; the request needs another one. */
  readonly onFailed: () => void;
}

/** Engines, store, network and the requests' way through them. */
export class World {
  readonly header: TraceHeader;
  readonly time: VirtualTime;
  readonly engines = new Map<string, EngineModel>();
  readonly store: StoreModel;
  /** Cache events by engine or store. */
  readonly feeds = new Map<string, EventFeed>();
  readonly #metrics: RunMetrics;
  readonly #domains = new Map<string, string>();

  constructor(
    header: TraceHeader,
    options: { readonly time: VirtualTime; readonly metrics: RunMetrics },
  ) {
    this.header = header;
    this.time = options.time;
    this.#metrics = options.metrics;
    const random = new Random(header.seed + FEED_SEED_OFFSET);
    for (const spec of header.engines) {
      this.#addEngine(spec, random);
    }
    this.store = this.#makeStore(random);
    const members = [...header.engines, ...header.routers, header.store];
    members.forEach(({ id, domain }) => this.#domains.set(id, domain));
  }

  /** One-way delay between two VMs; none within one VM. */
  delayMs(from: string, to: string): number {
    if (from === to) {
      return 0;
    }
    const isSame = this.#domains.get(from) === this.#domains.get(to);
    const { sameDomainMs, otherDomainMs } = this.header.network;
    return isSame ? sameDomainMs : otherDomainMs;
  }

  domainOf(id: string): string {
    return this.#domains.get(id)!;
  }

  /** Runs the callback at the receiver after the message's delay. */
  send(from: string, to: string, run: () => void): void {
    this.time.after(this.delayMs(from, to), run);
  }

  dispatch(request: SimRequest, dispatch: Dispatch): void {
    const attempt = ++request.attempts;
    const isCurrent = () => !request.isOver && request.attempts === attempt;
    const { engine, networkMs } = dispatch;
    this.time.after(networkMs, () => {
      if (!isCurrent()) {
        return;
      }
      request.engine = engine;
      engine.submit({
        requestId: request.id,
        team: request.team,
        blocks: request.blocks,
        promptTokens: request.promptTokens,
        outputTokens: request.event.outputTokens,
        priority: dispatch.priority ?? 0,
        deadlineMs: request.hasFirstToken ? Infinity : request.deadlineMs,
        ...(dispatch.importFrom && { importFrom: dispatch.importFrom }),
        onFirstToken: () => {
          this.time.after(networkMs, () => {
            if (isCurrent()) {
              this.#firstToken(request);
              dispatch.onFirstToken?.();
            }
          });
        },
        onEnd: (reason) => {
          if (!isCurrent()) {
            return;
          }
          request.engine = undefined;
          if (reason === "crashed") {
            this.#metrics.retries++;
            this.time.after(networkMs + RESET_DETECT_MS, () => {
              if (isCurrent()) {
                dispatch.onFailed();
              }
            });
            return;
          }
          if (reason === "expired") {
            this.refuse(request, "deadline_exceeded");
          }
          request.isOver = true;
          this.time.after(networkMs, () => dispatch.onEnd?.());
        },
      });
    });
  }

  /** Refuses a request whose deadline has passed; true when it did. */
  refuseLate(request: SimRequest): boolean {
    const isLate = !request.hasFirstToken &&
      request.deadlineMs <= this.time.nowMs;
    if (isLate) {
      this.refuse(request, "deadline_exceeded");
    }
    return isLate;
  }

  refuse(request: SimRequest, code: string): void {
    if (request.isOver) {
      return;
    }
    request.isOver = true;
    if (!request.hasFirstToken) {
      this.#metrics.recordRefusal(request.id, code);
    }
  }

  /** The caller's connection is gone: nothing of the request goes on. */
  abandon(request: SimRequest): void {
    request.attempts++;
    request.engine?.cancel(request.id);
    request.engine = undefined;
  }

  #firstToken(request: SimRequest): void {
    if (!request.hasFirstToken) {
      request.hasFirstToken = true;
      const { atMs } = request.event;
      if (atMs >= this.header.warmupMs) {
        this.#metrics.recordTtft(request.team, this.time.nowMs - atMs);
      }
    }
  }

  #addEngine(spec: TraceHeader["engines"][number], random: Random): void {
    const { time, header } = this;
    const engine: EngineModel = new EngineModel(spec, {
      time,
      network: header.network,
      observer: {
        onStored: (block, how) => {
          this.feeds.get(spec.id)!.emit("stored", block);
          if (how === "computed") {
            this.store.putLater(block);
          }
        },
        onEvicted: (block) => this.feeds.get(spec.id)!.emit("evicted", block),
        onRecompute: (block) => this.#checkWaste(engine, block),
        onPrefilled: (job, cached) => this.#countHits(job, cached),
      },
    });
    const network = header.network;
    this.engines.set(spec.id, engine);
    this.feeds.set(spec.id, new EventFeed(engine, { time, network, random }));
  }

  #makeStore(random: Random): StoreModel {
    const { time, header } = this;
    const { id } = header.store;
    const store: StoreModel = new StoreModel(header.store, {
      time,
      network: header.network,
      onStored: (block) => this.feeds.get(id)!.emit("stored", block),
      onEvicted: (block) => this.feeds.get(id)!.emit("evicted", block),
    });
    const source = {
      incarnation: 1,
      get cachedBlocks() {
        return store.cachedBlocks;
      },
    };
    const network = header.network;
    this.feeds.set(id, new EventFeed(source, { time, network, random }));
    return store;
  }

  #countHits(job: EngineJob, cached: number): void {
    if (this.time.nowMs >= this.header.warmupMs) {
      this.#metrics.recordPrefill({ cached, total: job.blocks.length });
    }
  }

  #checkWaste(engine: EngineModel, block: BlockHash): void {
    const isElsewhere = this.store.has(block) ||
      [...this.engines.values()].some((other) =>
        other !== engine && other.has(block)
      );
    if (isElsewhere && this.time.nowMs >= this.header.warmupMs) {
      this.#metrics.recordWastedBlock();
    }
  }
}
