import test from "ava";
import { decideCall, digestCall, digestKey } from "./mod.ts";
import {
  callOf,
  contextOf,
  HOUR_MS,
  keyDigest,
  START_MS,
  TestLog,
} from "./test_support.ts";
import type { TeamId } from "@endivebend/types";

const freshKey = `${START_MS / 1000}-abcdef`;

test("the same key of two teams identifies two calls", (t) => {
  t.not(digestKey("a" as TeamId, "bk"), digestKey("ab" as TeamId, "k"));
  const body = Buffer.from("x");
  t.not(
    digestCall({ method: "POST", path: "/a", body }),
    digestCall({ method: "POST", path: "/b", body }),
  );
});

test("an intent is appended for a new key before its call is dispatched", (t) => {
  const { state } = new TestLog();
  const plan = decideCall(state, callOf(freshKey), contextOf());
  t.deepEqual(plan, { kind: "append_intent", attempt: 1 });
});

test("a key older than half the retention or from the future is refused", (t) => {
  const { state } = new TestLog();
  const lateContext = contextOf({ nowMs: START_MS + HOUR_MS });
  t.like(decideCall(state, callOf(freshKey), lateContext), {
    code: "idempotency_key_expired",
    ran: "not_run",
  });
  const earlyContext = contextOf({ nowMs: START_MS - HOUR_MS });
  t.like(decideCall(state, callOf(freshKey), earlyContext), {
    code: "malformed_request",
  });
});

test("an old key does not pass for new when the wall clock is behind", (t) => {
  const log = new TestLog();
  log.nowMs += HOUR_MS;
  log.intent("other", "other");
  t.like(decideCall(log.state, callOf(freshKey), contextOf()), {
    code: "idempotency_key_expired",
  });
});

test("an old key whose call is recorded is replayed and not refused", (t) => {
  const log = new TestLog();
  log.intent("i1", freshKey);
  log.outcome("i1", freshKey, {});
  const lateContext = contextOf({ nowMs: START_MS + HOUR_MS });
  t.is(decideCall(log.state, callOf(freshKey), lateContext).kind, "replay");
});

test("when records are missing, no key that may be that old is taken for new", (t) => {
  const log = new TestLog({ maxKeys: 1 });
  log.intent("a", "a");
  log.nowMs += 60_000;
  log.intent("b", "b");
  const context = contextOf({ nowMs: START_MS + 60_000 });
  const later = contextOf({ nowMs: START_MS + 400_000 });
  const expired = { code: "idempotency_key_expired" };
  t.like(decideCall(log.state, callOf("free form"), context), expired);
  t.like(decideCall(log.state, callOf(freshKey), context), expired);
  const newKey = `${START_MS / 1000 + 400}-abcdef`;
  t.is(decideCall(log.state, callOf(newKey), later).kind, "append_intent");
});

test("a missing, malformed or untimed key is refused where one is required", (t) => {
  const { state } = new TestLog();
  const code = (key: string | undefined, more = {}) =>
    decideCall(state, callOf(key, more), contextOf());
  t.like(code(undefined), { code: "idempotency_key_required" });
  t.like(code(""), { code: "malformed_request" });
  t.like(code("x".repeat(300)), { code: "malformed_request" });
  t.like(code("free", { requireTimedKeys: true }), {
    code: "idempotency_key_required",
  });
  t.like(code(undefined, { unkeyed: true }), { kind: "dispatch" });
});

test("a retry with another body is refused, whether the first call runs or has ended", (t) => {
  const log = new TestLog();
  const callWithOtherBody = callOf(freshKey, {
    bodyDigest: keyDigest("other body"),
  });
  log.intent("i1", freshKey);
  t.like(decideCall(log.state, callWithOtherBody, contextOf()), {
    code: "idempotency_key_reused",
  });
  log.outcome("i1", freshKey, {});
  t.like(decideCall(log.state, callWithOtherBody, contextOf()), {
    code: "idempotency_key_reused",
  });
});

test("a retry waits for a running call, whose outcome is unknown once its writer has ended", (t) => {
  const log = new TestLog();
  log.intent("i1", freshKey);
  t.deepEqual(decideCall(log.state, callOf(freshKey), contextOf()), {
    kind: "wait_for_outcome",
    intentId: "i1",
  });
  const ended = contextOf({ hasEnded: (writer) => writer.vmId === "vm-1" });
  t.is(decideCall(log.state, callOf(freshKey), ended).kind, "unknown");
});

test("a call whose answer was too large is reported as run", (t) => {
  const log = new TestLog();
  log.intent("i1", freshKey);
  log.outcome("i1", freshKey, {
    outcome: { result: "answer_not_kept", status: 201 },
  });
  t.like(decideCall(log.state, callOf(freshKey), contextOf()), {
    code: "answer_not_kept",
    ran: "ran",
  });
});

test("without the log, only recorded answers and deduplicating routes are served", (t) => {
  const log = new TestLog();
  const contextWithoutLog = contextOf({ log: "away" });
  t.like(decideCall(log.state, callOf(freshKey), contextWithoutLog), {
    code: "platform_unavailable",
    ran: "not_run",
    retryAfterMs: 2000,
  });
  const catchingUp = contextOf({ log: "catching_up" });
  t.like(decideCall(log.state, callOf(freshKey), catchingUp), {
    code: "not_ready",
  });
  t.like(
    decideCall(
      log.state,
      callOf(freshKey, { deduplicates: true }),
      contextWithoutLog,
    ),
    {
      kind: "dispatch",
    },
  );
  log.intent("i1", freshKey);
  log.outcome("i1", freshKey, {});
  t.is(
    decideCall(log.state, callOf(freshKey), contextWithoutLog).kind,
    "replay",
  );
});
