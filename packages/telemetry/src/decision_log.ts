/**
 * Structured lines on standard output, one for each decision. Lines are written
 * without blocking and dropped, with a count, above a bounded rate.
 *
 * @module
 */

import { pino } from "pino";

/** Settings of the decision log. */
export interface DecisionLogOptions {
  /** Fields that every line carries, such as the VM id. */
  readonly fields: Readonly<Record<string, string>>;
  /** Where the lines go; standard output when absent. */
  readonly write?: (line: string) => void;
  readonly nowMs: () => number;
}

/** Writes one line for each decision. */
export interface RateLimitedLog {
  decision(step: string, fields: Readonly<Record<string, unknown>>): void;
  /** A line that is never dropped: start, stop, a lost or regained dependency. */
  stateChange(step: string, fields: Readonly<Record<string, unknown>>): void;
  flush(): void;
}

/** Some 12 requests a second at 5 lines each on the busiest small daemon. */
const LINES_PER_S = 150;
const BURST_LINES = 600;
/** Bytes waiting for a slow reader; more are dropped by the destination. */
const MAX_BUFFERED_BYTES = 1_048_576;

/**
 * Makes the log.
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
