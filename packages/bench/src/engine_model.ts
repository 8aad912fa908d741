/**
 * A model engine in virtual time: continuous batching, chunked prefill, a
 * prefix cache of limited size, import of cached blocks.
 *
 * @module
 */

import { TOKENS_PER_BLOCK } from "@endivebend/types";
import type { BlockHash } from "@endivebend/types";
import { BlockCache } from "./block_cache.ts";
import type { TraceEngine, TraceNetwork } from "./trace.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** Something that exports cached blocks. */
export interface BlockSource {
  readonly id: string;
  depth(chain: readonly BlockHash[]): number;
  has(block: BlockHash): boolean;
  /** Reserves the transfer and gives the time when it ends. */
  reserveExport(blocks: number): number;
}

/** A request as an engine sees it. */
export interface EngineJob {
  readonly requestId: string;
  readonly team: string;
  readonly blocks: readonly BlockHash[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Smaller is sooner. */
  readonly priority: number;
  /** A job that waits at the engine past this time is dropped. */
  readonly deadlineMs: number;
  readonly importFrom?: {
    readonly source: BlockSource;
    readonly toBlock: number;
  };
  readonly onFirstToken: () => void;
  readonly onEnd: (reason: "done" | "crashed" | "expired") => void;
}

/** What the engine tells the bench. */
export interface EngineObserver {
  onStored(block: BlockHash, how: "computed" | "imported"): void;
  onEvicted(block: BlockHash): void;
  /** Called when a block's prefill starts. */
  onRecompute(block: BlockHash): void;
  /** Called once for a job when its prefill ends. */
  onPrefilled(job: EngineJob, cachedBlocks: number): void;
}

interface Running {
  readonly job: EngineJob;
  readonly order: number;
  /** Prompt tokens that are prefilled or were cached. */
  doneTokens: number;
  cachedBlocks: number;
  pinnedBlocks: number;
  countedBlocks: number;
  isImporting: boolean;
  outputLeft: number;
}

/** One engine of the trace. */
export class EngineModel {
  readonly spec: TraceEngine;
  readonly id: string;
  incarnation = 1;
  isUp = true;
  #cache: BlockCache;
  #prefilling: Running[] = [];
  #decoding: Running[] = [];
  #isStepping = false;
  #order = 0;
  #importFreeAtMs = 0;
  #exportFreeAtMs = 0;
  readonly #time: VirtualTime;
  readonly #network: TraceNetwork;
  readonly #observer: EngineObserver;

  constructor(spec: TraceEngine, options: {
    readonly time: VirtualTime;
    readonly network: TraceNetwork;
    readonly observer: EngineObserver;
  }) {
    this.spec = spec;
    this.id = spec.id;
    this.#time = options.time;
    this.#network = options.network;
    this.#observer = options.observer;
    this.#cache = this.#emptyCache();
  }

  get cachedBlocks(): BlockHash[] {
    return this.#cache.blocks();
  }

  get waitingCount(): number {
    return this.#prefilling.filter((running) => running.doneTokens === 0)
      .length;
  }

  get runningCount(): number {
    return this.#prefilling.length + this.#decoding.length;
  }

  /** Prompt tokens left to prefill, with what is cached now taken off. */
  get queuedPrefillTokens(): number {
    return this.#prefilling.reduce((sum, running) => {
      const cached = this.#cache.depth(running.job.blocks) * TOKENS_PER_BLOCK;
      const done = Math.max(running.doneTokens, cached);
      return sum + Math.max(0, running.job.promptTokens - done);
    }, 0);
  }

  waitingOfTeam(team: string): number {
    return this.#prefilling.filter(({ job, doneTokens }) =>
      job.team === team && doneTokens === 0
    ).length;
  }

  has(block: BlockHash): boolean {
    return this.isUp && this.#cache.has(block);
  }

  depth(chain: readonly BlockHash[]): number {
    return this.isUp ? this.#cache.depth(chain) : 0;
  }

  reserveExport(blocks: number): number {
    const startMs = Math.max(this.#time.nowMs, this.#exportFreeAtMs);
    this.#exportFreeAtMs = startMs + blocks * this.#network.importMsPerBlock;
    return this.#exportFreeAtMs;
  }

  /** Takes a job; one sent to a crashed engine ends at once. */
  submit(job: EngineJob): void {
    if (!this.isUp) {
      job.onEnd("crashed");
      return;
    }
    const running: Running = {
      job,
      order: this.#order++,
      doneTokens: 0,
      cachedBlocks: 0,
      pinnedBlocks: 0,
      countedBlocks: 0,
      isImporting: false,
      outputLeft: job.outputTokens,
    };
    this.#prefilling.push(running);
    this.#prefilling.sort((a, b) =>
      a.job.priority - b.job.priority || a.order - b.order
    );
    this.#startImport(running);
    this.#wake();
  }

  /** Drops a job whose caller is gone, without a call of `onEnd`. */
  cancel(requestId: string): void {
    const isOther = (running: Running) => running.job.requestId !== requestId;
    const all = [...this.#prefilling, ...this.#decoding];
    const cancelled = all.find((running) => !isOther(running));
    if (cancelled !== undefined) {
      this.#unpin(cancelled);
      this.#prefilling = this.#prefilling.filter(isOther);
      this.#decoding = this.#decoding.filter(isOther);
    }
  }

  crash(): void {
    const lost = [...this.#prefilling, ...this.#decoding];
    this.isUp = false;
    this.#prefilling = [];
    this.#decoding = [];
    this.#cache = this.#emptyCache();
    for (const running of lost) {
      running.job.onEnd("crashed");
    }
  }

  /** Comes back empty. */
  restart(): void {
    this.incarnation++;
    this.isUp = true;
    this.#importFreeAtMs = 0;
    this.#exportFreeAtMs = 0;
  }

  #emptyCache(): BlockCache {
    return new BlockCache(
      this.spec.cacheBlocks,
      (block) => this.#observer.onEvicted(block),
    );
  }

  #startImport(running: Running): void {
    const plan = running.job.importFrom;
    if (plan === undefined) {
      return;
    }
    const wanted = running.job.blocks.slice(0, plan.toBlock);
    const from = this.#cache.depth(wanted);
    if (from === wanted.length) {
      return;
    }
    const to = Math.max(from, plan.source.depth(wanted));
    running.isImporting = true;
    const count = to - from;
    const transferMs = count * this.#network.importMsPerBlock;
    const startMs = Math.max(this.#time.nowMs, this.#importFreeAtMs);
    const endMs = count === 0 ? this.#time.nowMs : Math.max(
      startMs + transferMs,
      plan.source.reserveExport(count),
    );
    this.#importFreeAtMs = Math.max(this.#importFreeAtMs, endMs);
    const incarnation = this.incarnation;
    this.#time.at(endMs + this.#network.importSetupMs, () => {
      if (this.isUp && incarnation === this.incarnation) {
        running.isImporting = false;
        wanted.slice(from, to).forEach((block) => this.#addImported(block));
        this.#wake();
      }
    });
  }

  #addImported(block: BlockHash): void {
    if (this.#cache.add(block)) {
      this.#observer.onStored(block, "imported");
    }
  }

  #wake(): void {
    if (!this.#isStepping && this.isUp) {
      this.#step();
    }
  }

  #step(): void {
    this.#dropExpired();
    let budget = this.spec.chunkTokens;
    let slots = this.spec.maxRunning - this.#decoding.length;
    for (const running of this.#prefilling) {
      if (budget === 0 || slots <= 0) {
        break;
      }
      if (!running.isImporting) {
        slots--;
        this.#useCache(running);
        budget -= this.#prefill(running, budget);
      }
    }
    const prefilled = this.spec.chunkTokens - budget;
    const isDone = (running: Running) =>
      running.doneTokens >= running.job.promptTokens;
    const hasWork = prefilled > 0 || this.#decoding.length > 0 ||
      this.#prefilling.some(isDone);
    if (!hasWork) {
      return;
    }
    const durationMs = this.spec.stepBaseMs +
      prefilled * this.spec.prefillMsPerToken +
      this.#decoding.length * this.spec.decodeMsPerSequence;
    this.#isStepping = true;
    const incarnation = this.incarnation;
    this.#time.after(durationMs, () => {
      this.#isStepping = false;
      if (this.isUp && incarnation === this.incarnation) {
        this.#finishStep();
      }
      this.#wake();
    });
  }

  /** Skips the blocks that are in the cache now. */
  #useCache(running: Running): void {
    const { blocks } = running.job;
    for (;;) {
      const index = Math.floor(running.doneTokens / TOKENS_PER_BLOCK);
      const block = blocks[index];
      const isAtStart = running.doneTokens % TOKENS_PER_BLOCK === 0;
      if (block === undefined || !isAtStart || !this.#cache.has(block)) {
        return;
      }
      running.doneTokens += TOKENS_PER_BLOCK;
      running.cachedBlocks++;
      this.#cache.add(block);
      this.#pinTo(running, index + 1);
    }
  }

  #prefill(running: Running, budget: number): number {
    const left = running.job.promptTokens - running.doneTokens;
    const tokens = Math.min(left, budget);
    const from = running.doneTokens;
    for (const [index, block] of running.job.blocks.entries()) {
      const startsIn = index >= running.countedBlocks &&
        index * TOKENS_PER_BLOCK >= from &&
        index * TOKENS_PER_BLOCK < from + tokens;
      if (startsIn) {
        running.countedBlocks = index + 1;
        this.#observer.onRecompute(block);
      }
    }
    running.doneTokens += tokens;
    return tokens;
  }

  #finishStep(): void {
    for (const running of this.#prefilling) {
      this.#storeComputed(running);
    }
    this.#decode();
    const finished = this.#prefilling.filter((running) =>
      running.doneTokens >= running.job.promptTokens
    );
    this.#prefilling = this.#prefilling.filter((running) =>
      running.doneTokens < running.job.promptTokens
    );
    for (const running of finished) {
      this.#observer.onPrefilled(running.job, running.cachedBlocks);
      running.outputLeft--;
      this.#decoding.push(running);
      running.job.onFirstToken();
    }
  }

  #storeComputed(running: Running): void {
    const complete = Math.floor(running.doneTokens / TOKENS_PER_BLOCK);
    const chain = running.job.blocks.slice(0, complete);
    for (const block of chain.slice(running.pinnedBlocks)) {
      if (this.#cache.add(block)) {
        this.#observer.onStored(block, "computed");
      }
    }
    this.#pinTo(running, chain.length);
  }

  #decode(): void {
    const done: Running[] = [];
    for (const running of this.#decoding) {
      running.outputLeft--;
      if (running.outputLeft <= 0) {
        done.push(running);
      }
    }
    if (done.length === 0) {
      return;
    }
    this.#decoding = this.#decoding.filter((running) => running.outputLeft > 0);
    for (const running of done) {
      this.#unpin(running);
      running.job.onEnd("done");
    }
  }

  #dropExpired(): void {
    const expired = this.#prefilling.filter((running) =>
      running.doneTokens === 0 && running.job.deadlineMs <= this.#time.nowMs
    );
    if (expired.length > 0) {
      this.#prefilling = this.#prefilling.filter((running) =>
        !expired.includes(running)
      );
      expired.forEach((running) => running.job.onEnd("expired"));
    }
  }

  #pinTo(running: Running, count: number): void {
    const added = running.job.blocks.slice(running.pinnedBlocks, count);
    added.forEach((block) => this.#cache.pin(block));
    running.pinnedBlocks = Math.max(running.pinnedBlocks, count);
  }

  #unpin(running: Running): void {
    const pinned = running.job.blocks.slice(0, running.pinnedBlocks);
    pinned.forEach((block) => this.#cache.unpin(block));
  }
}
