/**
 * JSON lines on standard output, one for each decision. They are written
 * without blocking. Above a maximum rate, lines are dropped and counted.
 *
 * @module
 */

import { pino } from "pino";

/** Settings of the decision log. */
export interface DecisionLogOptions {
  /** Fields that every line carries, such as the VM id. */
  readonly fields: Readonly<Record<string, string>>;
  /** Receives each line; by default lines go to standard output. */
  readonly write?: (line: string) => void;
  readonly nowMs: () => number;
}

/** A log whose lines for decisions are limited in rate. */
export interface RateLimitedLog {
  /** Writes a line for a decision, or drops it above the maximum rate. */
  decision(step: string, fields: Readonly<Record<string, unknown>>): void;
  /**
   * Writes a line that is never dropped, for a start, a stop or a lost or
   * regained dependency.
   */
  stateChange(step: string, fields: Readonly<Record<string, unknown>>): void;
  flush(): void;
}

/**
 * Maximum rate of lines for decisions. The busiest daemon of a small fleet
 * handles some 12 requests a second, with 5 lines each.
 */
const LINES_PER_S = 150;
const BURST_LINES = 600;
/**
 * Bytes buffered for a slow reader; the destination drops what exceeds them.
 */
const MAX_BUFFERED_BYTES = 1_048_576;

/**
 * Creates the log.
 *
 * @example
 * ```ts
 * const log = createDecisionLog({ fields: { vm }, nowMs: () => clock.steadyMs() });
 * log.decision("place", { requestId, server });
 * ```
 */
export function createDecisionLog(options: DecisionLogOptions): RateLimitedLog {
  const { write, nowMs } = options;
  const destination = write === undefined
    ? pino.destination({ fd: 1, sync: false, maxLength: MAX_BUFFERED_BYTES })
    : undefined;
  const logger = pino(
    { base: options.fields, messageKey: "step" },
    destination ?? { write: write! },
  );
  let tokens = BURST_LINES;
  let asOfMs = nowMs();
  let dropped = 0;
  function takeToken(): boolean {
    const now = nowMs();
    const refill = Math.max(0, now - asOfMs) / 1_000 * LINES_PER_S;
    tokens = Math.min(BURST_LINES, tokens + refill);
    asOfMs = now;
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }
  return {
    decision(step, fields) {
      if (!takeToken()) {
        dropped += 1;
        return;
      }
      if (dropped > 0) logger.warn({ dropped }, "lines_dropped");
      dropped = 0;
      logger.info(fields, step);
    },
    stateChange: (step, fields) => logger.info(fields, step),
    flush: () => destination?.flushSync(),
  };
}
