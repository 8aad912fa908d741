/**
 * Log records, calls and settings for the tests of this package.
 *
 * @module
 */

import type { LogOffset, LogRecord, TeamId } from "@endivebend/types";
import {
  type CommitmentCall,
  type CommitmentOutcome,
  type CommitmentSettings,
  CommitmentState,
  type DecisionContext,
  digestCall,
  digestKey,
} from "./mod.ts";

export const HOUR_MS = 3_600_000;
export const START_MS = 1_782_864_000_000;

export const settings: CommitmentSettings = {
  retentionMs: 2 * HOUR_MS,
  maxKeys: 1000,
  maxAnswersBytes: 10_000,
};

export const bodyDigest = digestCall({
  method: "POST",
  path: "/bookings",
  body: Buffer.from("{}"),
});

export function keyDigest(key: string): string {
  return digestKey("st-mary" as TeamId, key);
}

/** An in-memory log that numbers records and applies them to a state. */
export class TestLog {
  readonly records: LogRecord[] = [];
  nowMs = START_MS;
  readonly state: CommitmentState;

  constructor(overrides: Partial<CommitmentSettings> = {}) {
    this.state = new CommitmentState({ ...settings, ...overrides });
  }

  append(value: unknown): void {
    const offset = this.records.length as LogOffset;
    const record = { offset, appendedAtMs: this.nowMs, value };
    this.records.push(record);
    this.state.apply(record);
  }

  intent(recordId: string, key: string, writer = "vm-1/a"): void {
    const fields = { team: "st-mary", route: "/bookings", attempt: 1 };
    this.append({
      ...commonFields(recordId, key, writer),
      ...fields,
      kind: "intent",
    });
  }

  aborted(intentId: string, key: string, writer = "vm-1/a"): void {
    this.append({
      ...commonFields(`abort-${intentId}`, key, writer),
      kind: "aborted",
      intentId,
    });
  }

  outcome(
    intentId: string,
    key: string,
    overrides: {
      readonly writer?: string;
      readonly outcome?: CommitmentOutcome;
    },
  ): void {
    this.append({
      ...commonFields(`outcome-${intentId}`, key, overrides.writer ?? "vm-1/a"),
      kind: "outcome",
      intentId,
      outcome: overrides.outcome ?? answered("done"),
    });
  }
}

function commonFields(recordId: string, key: string, writer: string) {
  const [vmId, incarnation] = writer.split("/");
  return {
    recordId,
    keyDigest: keyDigest(key),
    bodyDigest,
    vmId,
    incarnation,
  };
}

export function answered(body: string): CommitmentOutcome {
  const bodyBase64 = Buffer.from(body).toString("base64");
  return { result: "answered", status: 201, headers: {}, bodyBase64 };
}

export function callOf(
  key: string | undefined,
  overrides: Partial<CommitmentCall> = {},
): CommitmentCall {
  return {
    key,
    keyDigest: key === undefined ? undefined : keyDigest(key),
    bodyDigest,
    unkeyed: false,
    deduplicates: false,
    requireTimedKeys: false,
    ...overrides,
  };
}

export function contextOf(
  overrides: Partial<DecisionContext> = {},
): DecisionContext {
  return {
    nowMs: START_MS,
    log: "ready",
    hasEnded: () => false,
    retryAfterMs: 2000,
    ...overrides,
  };
}
