/**
 * Test helpers that build and apply log records.
 *
 * @module
 */

import { brandId, type LogOffset, type LogRecord } from "@endivebend/types";
import { applyRecord } from "./apply.ts";
import { createConfigurationState } from "./state.ts";

/** Creates a valid template body; overrides replace whole fields. */
export function makeBody(overrides: Readonly<Record<string, unknown>> = {}) {
  return {
    parameters: {
      tokenRatePerSecond: { default: 100, maximum: 1000 },
      burstTokens: { default: 500 },
    },
    services: ["chime-llm", "bookings"],
    routes: [{
      path: "/bookings",
      methods: ["GET"],
      service: "bookings",
      repeatable: true,
      open: true,
    }],
    models: ["chime-9"],
    ...overrides,
  };
}

/** Creates a log record, appended at as many milliseconds as its offset. */
export function makeRecord(offset: number, value: unknown): LogRecord {
  return { offset: brandId<LogOffset>(offset), appendedAtMs: offset, value };
}

/** Creates a 64-digit digest that starts with the number in 8 digits. */
export function makeDigest(number: number): string {
  return number.toString(16).padStart(8, "0").padEnd(64, "7");
}

/** Applies values from offset 0 and returns the state and the results. */
export function applyValues(values: readonly unknown[]) {
  const state = createConfigurationState();
  const results = values.map((value, offset) =>
    applyRecord(state, makeRecord(offset, value))
  );
  return { state, results };
}
