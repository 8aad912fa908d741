/**
 * Records what the head of an answer tells of its server, for requests of this
 * VM's callers and for those that it forwards.
 *
 * @module
 */

import type { AnswerHead, DecisionLog, PathMetrics } from "./ports.ts";
import type { KnownServer, ServerRegistry } from "./server_registry.ts";

/** Where it is recorded. */
export interface AnswerRecords {
  readonly registry: ServerRegistry;
  readonly log: DecisionLog;
  readonly metrics: PathMetrics;
}

/**
 * Records the load, limit, quiet and leaving that the head names. An answer of
 * another server at the same address tells its load only.
 */
export function recordAnswerHead(
  { registry, log, metrics }: AnswerRecords,
  { listed }: Pick<KnownServer, "listed">,
  at: { readonly head: AnswerHead; readonly nowMs: number },
): void {
  const { head, nowMs } = at;
  const { id: server, startedAtMs } = listed;
  registry.recordActivity(server, nowMs);
  if (head.load !== undefined) registry.recordLoad(server, head.load, nowMs);
  if (head.isMisdirected) return;
  const { limitPerS, bearsPerS, quietMs, isLeaving } = head;
  const limit = { perS: limitPerS, bearsPerS };
  if (registry.recordOwnLimit(server, limit, nowMs)) {
    log.decision("server_limit", {
      server,
      limitPerS: limitPerS ?? null,
      bearsPerS,
    });
  }
  if (isLeaving && registry.recordLeavingAnswer(listed, nowMs)) {
    metrics.count("servers_leaving");
    log.decision("server_leaving", { server, startedAtMs });
  }
  if (quietMs !== undefined) {
    registry.recordQuiet(server, nowMs + quietMs);
    metrics.count("servers_quiet");
    log.decision("server_quiet", { server, quietMs });
  }
}
