/**
 * JSON log lines for changes of state; counters carry the rest.
 *
 * @module
 */

import { pino } from "pino";

/** Settings of the log. */
export interface LogOptions {
  readonly level: "debug" | "info" | "warn" | "error" | "silent";
  /** Fields that every line carries, such as the VM id. */
  readonly fields: Readonly<Record<string, string>>;
}

/** Writes log lines. */
export interface StructuredLogger {
  info(fields: Readonly<Record<string, unknown>>, message: string): void;
  warn(fields: Readonly<Record<string, unknown>>, message: string): void;
  error(fields: Readonly<Record<string, unknown>>, message: string): void;
}

/** Paths that may hold a secret; the log shows `[redacted]` in their place. */
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
 * Makes a logger that writes JSON lines to standard error.
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
