/**
 * Prompt parts that this daemon has lately placed, for the other daemons.
 * Answers a load where requests for one part reach many daemons: without each
 * other's placements each of them would have the part read again.
 *
 * @module
 */

import type { BackendServerId } from "@endivebend/types";
import type { PromptPartId } from "./types.ts";

/** A placement is told in three messages, of which two may be lost. */
const TOLD_MS = 650;

interface PlacedPart {
  readonly server: BackendServerId;
  readonly part: PromptPartId;
  readonly untilMs: number;
}

/** Placements in the order in which they were made. */
export class RecentParts {
  #placed: PlacedPart[] = [];

  add(
    server: BackendServerId,
    parts: readonly PromptPartId[],
    nowMs: number,
  ): void {
    for (const part of parts) {
      this.#placed.push({ server, part, untilMs: nowMs + TOLD_MS });
    }
  }

  /** Parts by server, those that have been told often enough left out. */
  fresh(nowMs: number): Record<BackendServerId, PromptPartId[]> {
    this.#placed = this.#placed.filter(({ untilMs }) => untilMs > nowMs);
    const byServer: Record<BackendServerId, PromptPartId[]> = {};
    for (const { server, part } of this.#placed) {
      const parts = byServer[server] ??= [];
      if (!parts.includes(part)) parts.push(part);
    }
    return byServer;
  }
}
