import test from "ava";
import type { AttemptId, RequestId, WeightsVersion } from "@endivebend/types";
import {
  createStreamState,
  type EngineChunk,
  type StreamEffect,
  type StreamEvent,
  type StreamOptions,
} from "./mod.ts";

type EventWithoutTime = StreamEvent extends infer E
  ? E extends { nowMs: number } ? Omit<E, "nowMs"> : never
  : never;

const requestId = "r" as RequestId;

function newStream(options: Partial<StreamOptions> = {}) {
  const state = createStreamState({
    requestId,
    maxTokens: 8,
    progressTimeoutMs: 100,
    deadlineMs: 10_000,
    ...options,
  });
  const at = (
    nowMs: number,
    event: EventWithoutTime,
  ): readonly StreamEffect[] =>
    state.handle({ ...event, nowMs } as StreamEvent);
  return { state, at };
}

function attemptIdOf(number: number): AttemptId {
  return `r.${number}` as AttemptId;
}

function token(
  attempt: number,
  tokenIndex: number,
  overrides: Partial<EngineChunk> = {},
): EventWithoutTime {
  const message: EngineChunk = {
    kind: "chunk",
    requestId,
    attemptId: attemptIdOf(attempt),
    tokenIndex,
    text: `t${tokenIndex}`,
    finishReason: undefined,
    usage: undefined,
    ...overrides,
  };
  return { kind: "chunk", attemptId: attemptIdOf(attempt), message };
}

function startedStream(options: Partial<StreamOptions> = {}) {
  const stream = newStream(options);
  stream.at(0, { kind: "start" });
  stream.at(0, { kind: "attempt_started", attemptId: attemptIdOf(1) });
  return stream;
}

test("a request that reached no engine fails with status not_run", (t) => {
  const { at } = newStream({ maxAttempts: 2 });
  t.like(at(0, { kind: "start" }), [{ kind: "start_attempt", resumeFrom: 0 }]);
  const failed = { kind: "attempt_failed", reason: "Connection refused" };
  at(1, { ...failed, attemptId: attemptIdOf(1) } as EventWithoutTime);
  t.like(at(2, { ...failed, attemptId: attemptIdOf(2) } as EventWithoutTime), [
    { kind: "fail", code: "no_backend_server", ran: "not_run" },
  ]);
});

test("a request that may have reached an engine does not fail with not_run", (t) => {
  const { at } = startedStream({ allowRetry: () => false });
  const effects = at(1, {
    kind: "attempt_failed",
    attemptId: attemptIdOf(1),
    reason: "Connection reset",
    code: "queue_full",
  });
  t.like(effects, [{ kind: "fail", code: "queue_full", ran: "unknown" }]);
});

test("a failure after the first forwarded token is reported as stream_incomplete", (t) => {
  const { at } = startedStream({ maxAttempts: 1 });
  at(1, token(1, 0));
  t.like(at(2, { kind: "attempt_ended", attemptId: attemptIdOf(1) }), [
    { kind: "fail", code: "stream_incomplete", ran: "ran" },
  ]);
});

test("a skipped token cancels the attempt, and the next one resumes there", (t) => {
  const { at } = startedStream();
  at(1, token(1, 0));
  t.like(at(2, token(1, 2)), [
    { kind: "cancel_attempt", attemptId: "r.1" },
    { kind: "start_attempt", resumeFrom: 1, generatedText: "t0" },
  ]);
  t.deepEqual(at(3, token(1, 1)), []);
  t.like(at(3, token(2, 1)), [{ kind: "forward", text: "t1" }]);
});

test("foreign, stale and duplicate chunks are ignored and counted", (t) => {
  const { state, at } = startedStream();
  at(1, token(1, 0));
  at(1, token(1, 0));
  at(1, token(1, 1, { requestId: "other" as RequestId }));
  at(1, token(1, 1, { attemptId: undefined }));
  at(1, token(0, 1));
  t.deepEqual(state.ignoredChunks, {
    foreign: 2,
    staleAttempt: 1,
    duplicate: 1,
    afterEnd: 0,
  });
});

test("an attempt without progress is cancelled, but not while the caller does not read", (t) => {
  const { state, at } = startedStream();
  at(50, token(1, 0));
  t.is(state.nextDeadlineMs(), 150);
  at(60, { kind: "caller_backpressure" });
  t.deepEqual(at(5000, { kind: "tick" }), []);
  at(5000, { kind: "caller_ready" });
  t.deepEqual(at(5099, { kind: "tick" }), []);
  t.like(at(5100, { kind: "tick" }), [
    { kind: "cancel_attempt" },
    { kind: "start_attempt", resumeFrom: 1 },
  ]);
});

test("repeated token indexes do not extend the progress deadline", (t) => {
  const { at } = startedStream();
  at(50, token(1, 0));
  at(140, token(1, 0));
  t.like(at(150, { kind: "tick" }), [{ kind: "cancel_attempt" }]);
});

test("a queued attempt is bound only by the request's deadline", (t) => {
  const { state, at } = newStream();
  at(0, { kind: "start" });
  t.is(state.nextDeadlineMs(), 10_000);
  t.like(at(10_000, { kind: "tick" }), [
    { kind: "cancel_attempt" },
    { kind: "fail", code: "deadline_exceeded", ran: "not_run" },
  ]);
});

test("an engine with other weights does not continue a stream", (t) => {
  const { at } = startedStream();
  const headers = (
    attempt: number,
    weightsVersion: string,
  ): EventWithoutTime => ({
    kind: "attempt_headers",
    attemptId: attemptIdOf(attempt),
    weightsVersion: weightsVersion as WeightsVersion,
  });
  at(1, headers(1, "w1"));
  at(1, token(1, 0));
  const [resume] = at(2, { kind: "attempt_ended", attemptId: attemptIdOf(1) });
  t.like(resume, { kind: "start_attempt", weightsVersion: "w1" });
  at(3, { kind: "attempt_started", attemptId: attemptIdOf(2) });
  t.like(at(3, headers(2, "w2")), [
    { kind: "cancel_attempt", attemptId: "r.2" },
    { kind: "start_attempt", resumeFrom: 1 },
  ]);
});

test("finish includes the usage that follows the finish reason", (t) => {
  const { at } = startedStream();
  at(1, token(1, 0, { finishReason: "stop" }));
  const usage = { promptTokens: 1, completionTokens: 1, cachedTokens: 0 };
  at(2, token(1, 1, { tokenIndex: undefined, text: "", usage }));
  t.like(at(3, { kind: "attempt_ended", attemptId: attemptIdOf(1) }), [
    { kind: "finish", finishReason: "stop", completionTokens: 1, usage },
  ]);
});

test("an attempt that ends after the last permitted token is not retried", (t) => {
  const { at } = startedStream({ maxTokens: 1 });
  at(1, token(1, 0));
  t.like(at(2, { kind: "attempt_ended", attemptId: attemptIdOf(1) }), [
    { kind: "finish", finishReason: "length" },
  ]);
});

test("a caller's disconnect cancels the attempt and ends the stream", (t) => {
  const { state, at } = startedStream();
  t.like(at(1, { kind: "caller_gone" }), [{ kind: "cancel_attempt" }]);
  t.true(state.hasEnded);
  t.deepEqual(at(2, token(1, 0)), []);
});
