/**
 * Prompt parts that this daemon has lately placed, for the other daemons.
 * Answers a load where requests for one part reach many daemons: without each
 * other's placements each of them would have the part read again.
 *
 * @module
 */

import type { PartKey } from "./kept_parts.ts";
import type { MemoryId } from "./server_registry.ts";

/** A placement is told in three messages of a small fleet. */
const MIN_TOLD_MS = 650;

interface PlacedPart {
  readonly memory: MemoryId;
  readonly part: PartKey;
  readonly untilMs: number;
}

/** Placements in the order in which they were made. */
export class RecentParts {
  #placed: PlacedPart[] = [];
  #roundMs: () => number = () => 0;

  /** Sets how long it takes until every daemon has been told. */
  useRound(roundMs: () => number): void {
    this.#roundMs = roundMs;
  }

  add(
    memory: MemoryId,
    parts: readonly PartKey[],
    nowMs: number,
  ): void {
    const untilMs = nowMs + Math.max(MIN_TOLD_MS, this.#roundMs());
    for (const part of parts) {
      this.#placed.push({ memory, part, untilMs });
    }
  }

  /** Parts by memory, those that have been told often enough left out. */
  fresh(nowMs: number): Record<MemoryId, PartKey[]> {
    this.#placed = this.#placed.filter(({ untilMs }) => untilMs > nowMs);
    const byMemory: Record<MemoryId, PartKey[]> = {};
    for (const { memory, part } of this.#placed) {
      const parts = byMemory[memory] ??= [];
      if (!parts.includes(part)) parts.push(part);
    }
    return byMemory;
  }
}
