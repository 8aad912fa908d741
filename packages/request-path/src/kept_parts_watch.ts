/**
 * Watches what engines and stores keep of prompts. Answers a load whose shared
 * parts do not all fit into the engines: an engine that is wrongly believed to
 * keep a part reads it again, which slows everything behind it.
 *
 * One daemon watches each memory and tells the others.
 *
 * @module
 */

import { type Clock, pause, type Scheduler, steadyMs } from "@endivebend/clock";
import { rankByRendezvous } from "@endivebend/routing";
import type { VmId } from "@endivebend/types";
import type { KeptChange, PartKey } from "./kept_parts.ts";
import type { MemoryId, ServerRegistry } from "./server_registry.ts";

/** An engine, or a store of prompt parts, that can be asked. */
export interface WatchedMemory {
  readonly id: MemoryId;
  readonly address: string;
}

/** What a memory has stored and dropped since it was last asked. */
export interface MemoryNews {
  /** Another value means that it has restarted and keeps nothing of before. */
  readonly run: string;
  /** Where to go on. */
  readonly next: number;
  /** Whether older changes are no longer known. */
  readonly hasGap: boolean;
  readonly changes: readonly KeptChange[];
}

/** Asks memories for their news. */
export interface MemoryClient {
  /** Undefined when the memory does not answer. */
  news(memory: WatchedMemory, after: number): Promise<MemoryNews | undefined>;
}

/** What the watch needs of its neighbours. */
export interface KeptPartsWatchOptions {
  readonly self: VmId;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly client: MemoryClient;
  readonly registry: ServerRegistry;
  /** Every memory that some daemon should watch. */
  memories(): readonly WatchedMemory[];
  /** The other daemons in reach. */
  peers(): readonly VmId[];
  /** How long it takes until every daemon has been told. */
  roundMs(): number;
  decision(step: string, fields: Readonly<Record<string, unknown>>): void;
}

/** How often it is decided anew who watches what. */
const ASSIGN_MS = 500;
/** Least time between two questions, so that few calls carry many changes. */
const PACE_MS = 400;
/** A memory that does not answer is left alone for this long. */
const SILENT_MS = 1_000;
/** A change is told in three messages of a small fleet. */
const MIN_TOLD_MS = 650;

/**
 * The memories that a daemon watches, by rendezvous hashing over the daemons
 * in reach. For a moment two daemons may watch one memory, which costs a call.
 *
 * @example
 * ```ts
 * const mine = assignMemories(memories, { self, peers });
 * ```
 */
export function assignMemories(
  memories: readonly WatchedMemory[],
  members: { readonly self: VmId; readonly peers: readonly VmId[] },
): WatchedMemory[] {
  const everyone = [...members.peers, members.self];
  return memories.filter(({ id }) =>
    rankByRendezvous(id, everyone)[0] === members.self
  );
}

/** The running watch. */
export class KeptPartsWatch {
  readonly #options: KeptPartsWatchOptions;
  readonly #watched = new Map<MemoryId, WatchedMemory>();
  readonly #running = new Set<MemoryId>();
  /** The newest change of each part, by memory. */
  readonly #told = new Map<
    MemoryId,
    Map<PartKey, { readonly change: KeptChange; readonly untilMs: number }>
  >();
  readonly #answeredAtMs = new Map<MemoryId, number>();
  #hasStopped = false;

  constructor(options: KeptPartsWatchOptions) {
    this.#options = options;
  }

  start(): void {
    if (this.#hasStopped) return;
    this.#options.scheduler.after(ASSIGN_MS, () => this.start());
    this.#assign();
  }

  stop(): void {
    this.#hasStopped = true;
    this.#watched.clear();
  }

  /** Late changes by memory, with an entry for each memory that answers. */
  news(): Record<MemoryId, KeptChange[]> {
    const nowMs = this.#nowMs();
    const news: Record<MemoryId, KeptChange[]> = {};
    for (const [memory, atMs] of this.#answeredAtMs) {
      if (nowMs - atMs > 2 * SILENT_MS) {
        this.#answeredAtMs.delete(memory);
        this.#told.delete(memory);
        continue;
      }
      const told = this.#told.get(memory);
      for (const [part, { untilMs }] of told ?? []) {
        if (untilMs <= nowMs) told?.delete(part);
      }
      news[memory] = [...told?.values() ?? []].map(({ change }) => change);
    }
    return news;
  }

  #nowMs(): number {
    return steadyMs(this.#options.clock);
  }

  #assign(): void {
    const { self, peers, memories } = this.#options;
    const mine = assignMemories(memories(), { self, peers: peers() });
    this.#watched.clear();
    for (const memory of mine) {
      this.#watched.set(memory.id, memory);
      if (!this.#running.has(memory.id)) void this.#watch(memory);
    }
  }

  async #watch(memory: WatchedMemory): Promise<void> {
    const { client, registry, scheduler } = this.#options;
    this.#running.add(memory.id);
    let after = 0;
    let run: string | undefined;
    while (this.#watched.get(memory.id)?.address === memory.address) {
      const startedAtMs = this.#nowMs();
      const news = await client.news(memory, after);
      if (news === undefined) {
        await pause(scheduler, SILENT_MS);
        continue;
      }
      if (run !== undefined && run !== news.run) {
        // The numbers of the former run mean nothing now.
        registry.partsOf(memory.id)?.clear();
        after = 0;
      } else {
        this.#apply(memory, news);
        after = news.next;
      }
      run = news.run;
      await pause(
        scheduler,
        Math.max(0, startedAtMs + PACE_MS - this.#nowMs()),
      );
    }
    this.#running.delete(memory.id);
  }

  #apply(memory: WatchedMemory, news: MemoryNews): void {
    const { registry, decision } = this.#options;
    const nowMs = this.#nowMs();
    if (news.hasGap) decision("kept_parts_gap", { memory: memory.id });
    const newest = new Map<PartKey, KeptChange>();
    for (const change of news.changes) {
      if (registry.sharedParts.has(change[0])) newest.set(change[0], change);
    }
    const changes = [...newest.values()];
    registry.noteReported(memory.id, changes, nowMs);
    this.#answeredAtMs.set(memory.id, nowMs);
    const untilMs = nowMs + Math.max(MIN_TOLD_MS, this.#options.roundMs());
    const told = this.#told.get(memory.id) ?? new Map();
    this.#told.set(memory.id, told);
    for (const change of changes) {
      told.set(change[0], { change, untilMs });
    }
  }
}
