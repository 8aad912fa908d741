/**
 * The JSON log of state changes. What happens more often is counted instead.
 *
 * @module
 */

import { pino } from "pino";

/** Settings of {@link createLogger}. */
export interface LogOptions {
  readonly level: "debug" | "info" | "warn" | "error" | "silent";
  /** Fields that every line carries, such as the VM id. */
  readonly fields: Readonly<Record<string, string>>;
}

/** Writes one log line per call. */
export interface StructuredLogger {
  info(fields: Readonly<Record<string, unknown>>, message: string): void;
  warn(fields: Readonly<Record<string, unknown>>, message: string): void;
  error(fields: Readonly<Record<string, unknown>>, message: string): void;
}

/** Fields that may hold a secret; their values are redacted. */
const REDACTED_PATHS = [
  "authorization",
  "*.authorization",
  "headers.authorization",
  "key",
  "*.key",
  "sharedKey",
  "*.sharedKey",
];

/**
 * Creates a logger that writes JSON lines to standard error.
 *
 * @example
 * ```ts
 * const logger = createLogger({ level: "info", fields: { vmId } });
 * logger.info({ address }, "Callers' listener is open");
 * ```
 */
export function createLogger(options: LogOptions): StructuredLogger {
  const destination = pino.destination({ fd: 2, sync: true });
  return pino(
    { level: options.level, base: options.fields, redact: REDACTED_PATHS },
    destination,
  );
}
