import test from "ava";
import fc from "fast-check";
import type { AttemptId, RequestId } from "@endivebend/types";
import {
  createStreamState,
  type EngineChunk,
  type StreamEffect,
  type StreamEvent,
} from "./mod.ts";

const seed = Number(process.env["SEED"] ?? 20260702);
const requestId = "r" as RequestId;

type Fault =
  | "none"
  | "cross"
  | "duplicate"
  | "drop"
  | "swap"
  | "silence"
  | "crash"
  | "end_early"
  | "restart_at_zero"
  | "stale_echo"
  | "lost_end";

interface FaultScenario {
  readonly tokenCount: number;
  /** For each attempt: which fault the engine has, and at which token. */
  readonly attempts: readonly { readonly fault: Fault; readonly at: number }[];
  readonly refuseRetryAt: number;
}

function textOf(index: number): string {
  return `<${index}>`;
}

function chunk(attemptId: AttemptId, index: number, end: number): EngineChunk {
  return {
    kind: "chunk",
    requestId,
    attemptId,
    tokenIndex: index,
    text: index === end ? "" : textOf(index),
    finishReason: index === end ? "stop" : undefined,
    usage: undefined,
  };
}

/** Generates the events of one attempt on an engine with the planned fault. */
function* engineEvents(
  attempt: Extract<StreamEffect, { kind: "start_attempt" }>,
  scenario: FaultScenario,
): Generator<StreamEvent> {
  const { attemptId } = attempt;
  const plannedFault = scenario.attempts[attempt.attemptNumber - 1] ??
    { fault: "none", at: 0 };
  const nowMs = 0;
  const send = (message: EngineChunk): StreamEvent => {
    return { kind: "chunk", attemptId, message, nowMs };
  };
  const own = (index: number) => chunk(attemptId, index, scenario.tokenCount);
  const first = plannedFault.fault === "restart_at_zero"
    ? 0
    : attempt.resumeFrom;
  yield { kind: "attempt_started", attemptId, nowMs };
  for (let index = first; index <= scenario.tokenCount; index++) {
    const fault = index === Math.max(plannedFault.at, first)
      ? plannedFault.fault
      : "none";
    if (fault === "crash") {
      yield { kind: "attempt_failed", attemptId, reason: "reset", nowMs };
      return;
    }
    if (fault === "end_early") break;
    if (fault === "silence") return;
    if (fault === "drop") continue;
    if (fault === "swap") yield send(own(index + 1));
    if (fault === "cross") {
      yield send({ ...own(index), requestId: "q" as RequestId, text: "wrong" });
    }
    if (fault === "stale_echo") {
      yield send({ ...own(index), attemptId: "r.0" as AttemptId, text: "old" });
    }
    yield send(own(index));
    if (fault === "duplicate") yield send(own(index));
  }
  if (plannedFault.fault === "lost_end") return;
  yield { kind: "chunk", attemptId, message: { kind: "done" }, nowMs };
}

function runScenario(scenario: FaultScenario) {
  let retries = 0;
  const stream = createStreamState({
    requestId,
    maxTokens: 1000,
    progressTimeoutMs: 100,
    deadlineMs: 100_000,
    maxAttempts: 5,
    allowRetry: () => ++retries !== scenario.refuseRetryAt,
  });
  const effects: StreamEffect[] = [];
  let attempts = 0;
  const apply = (event: StreamEvent): void => {
    for (const effect of stream.handle(event)) {
      effects.push(effect);
      if (effect.kind !== "start_attempt") continue;
      attempts++;
      for (const next of engineEvents(effect, scenario)) apply(next);
    }
  };
  apply({ kind: "start", nowMs: 0 });
  for (let step = 1; step < 20 && !stream.hasEnded; step++) {
    apply({ kind: "tick", nowMs: step * 100 });
  }
  return { effects, attempts, ended: stream.hasEnded };
}

const faults = fc.constantFrom<Fault>(
  "none",
  "cross",
  "duplicate",
  "drop",
  "swap",
  "silence",
  "crash",
  "end_early",
  "restart_at_zero",
  "stale_echo",
  "lost_end",
);

test("under any engine fault, the caller's text is a prefix, and complete on finish", (t) => {
  t.log(`seed ${seed}`);
  let finished = 0;
  fc.assert(
    fc.property(
      fc.record({
        tokenCount: fc.nat(30),
        attempts: fc.array(
          fc.record({ fault: faults, at: fc.nat(30) }),
          { maxLength: 6 },
        ),
        refuseRetryAt: fc.integer({ min: 1, max: 12 }),
      }),
      (scenario) => {
        const { effects, attempts, ended } = runScenario(scenario);
        const text = effects.map((e) => e.kind === "forward" ? e.text : "")
          .join("");
        const expected = Array.from(
          { length: scenario.tokenCount },
          (_, i) => textOf(i),
        ).join("");
        const ends = effects.filter((e) =>
          e.kind === "finish" || e.kind === "fail"
        );
        t.true(ended);
        t.is(ends.length, 1);
        t.is(effects.at(-1), ends[0]);
        t.true(attempts <= 5);
        t.true(expected.startsWith(text));
        if (ends[0]?.kind !== "finish") return;
        finished++;
        t.is(text, expected);
      },
    ),
    { seed, numRuns: 5000 },
  );
  t.log(`${finished} of 5000 streams finished`);
});
