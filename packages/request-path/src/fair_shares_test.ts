import test from "ava";
import { brandId, type RequestId, type TeamId } from "@endivebend/types";
import {
  decideShare,
  fairUnitsPerWeight,
  hasShortage,
  mayRefuse,
  type ServiceRoom,
  type ShareRequest,
  type ShareRules,
  type TeamWork,
} from "./mod.ts";

const LARGE = brandId<TeamId>("large");
const SMALL = brandId<TeamId>("small");
const RULES: ShareRules = {
  urgencies: [0, 2],
  smallestTargetMs: 400,
  weights: new Map(),
};

/** Ten servers with queues of so many milliseconds. */
function roomOf(queueMs: number, fields: Partial<ServiceRoom> = {}) {
  return {
    servers: 10,
    tokensPerMs: 300,
    places: 120,
    requests: 80,
    waiting: 0,
    prefillTokens: queueMs * 300,
    longestQueueMs: queueMs,
    ...fields,
  } satisfies ServiceRoom;
}

function workOf(
  team: TeamId,
  prefillTokens: number,
  urgency = 2,
): TeamWork {
  return { team, urgency, requests: 40, prefillTokens };
}

function requestOf(fields: Partial<ShareRequest> = {}): ShareRequest {
  return {
    requestId: brandId<RequestId>("q-1"),
    team: SMALL,
    urgency: 2,
    targetMs: 1_200,
    timeLeftMs: 5_000,
    tokensToRead: 3_000,
    usualTokens: 3_000,
    usualReadMs: 100,
    queueMs: 300,
    readMs: 100,
    isFull: false,
    nowMs: 1_000,
    ...fields,
  };
}

/** How many of a hundred requests are refused. */
function countRefused(
  fields: Partial<ShareRequest>,
  at: Parameters<typeof decideShare>[1],
): number {
  const requests = Array.from(
    { length: 100 },
    (_, index) =>
      requestOf({ ...fields, requestId: brandId<RequestId>(`q-${index}`) }),
  );
  return requests.filter((request) => decideShare(request, at) !== undefined)
    .length;
}

test("a shortage lasts until its backlog is gone, and begins above that", (t) => {
  const is = (queueMs: number, wasShort: boolean) =>
    hasShortage(roomOf(queueMs), { rules: RULES, wasShort });
  t.false(is(150, false));
  t.true(is(250, false));
  t.true(is(150, true));
  t.false(is(50, true));
  const waiting = roomOf(0, { waiting: 120 });
  t.true(hasShortage(waiting, { rules: RULES, wasShort: false }));
});

test("no request is refused while half of the places are free and none waits", (t) => {
  t.false(mayRefuse(roomOf(300, { requests: 59 }), RULES));
  t.true(mayRefuse(roomOf(300, { requests: 60 }), RULES));
  t.true(mayRefuse(roomOf(300, { requests: 20, waiting: 1 }), RULES));
});

test("what a team leaves unused is divided among the others by weight", (t) => {
  const perWeight = fairUnitsPerWeight([
    { used: 2, weight: 1 },
    { used: 30, weight: 1 },
    { used: 30, weight: 3 },
  ], 42);
  t.is(perWeight, 10);
  t.is(fairUnitsPerWeight([{ used: 2, weight: 1 }], 10), Infinity);
});

test("urgent requests are admitted past a backlog at which others are refused", (t) => {
  const at = {
    room: roomOf(1_100),
    rules: RULES,
    work: [workOf(LARGE, 300_000), workOf(SMALL, 20_000, 0)],
  };
  t.is(countRefused({ team: LARGE }, at), 100);
  const urgent = { urgency: 0, targetMs: 400, queueMs: 1_000, readMs: 20 };
  t.is(countRefused(urgent, at), 0);
});

test("a team above its part is refused before teams below theirs", (t) => {
  const work = [workOf(LARGE, 220_000), workOf(SMALL, 20_000)];
  const at = { room: roomOf(860), rules: RULES, work };
  t.true(countRefused({ team: LARGE }, at) > 50);
  t.is(countRefused({ team: SMALL }, at), 0);
  const weights = new Map([[LARGE, 20], [SMALL, 1]]);
  const weighted = { ...at, rules: { ...RULES, weights } };
  t.is(countRefused({ team: LARGE }, weighted), 0);
});

test("with little of the work known, teams are not told apart", (t) => {
  const work = [workOf(LARGE, 2_000), workOf(SMALL, 200)];
  const at = { room: roomOf(860), rules: RULES, work };
  t.is(countRefused({ team: LARGE }, at), 0);
  t.is(countRefused({ team: LARGE }, { ...at, room: roomOf(1_200) }), 100);
});

test("a large request is refused at a shorter wait, but not at any", (t) => {
  const work = [workOf(LARGE, 120_000), workOf(SMALL, 120_000)];
  const at = { room: roomOf(700), rules: RULES, work };
  const large = { tokensToRead: 9_000, readMs: 300 };
  t.is(countRefused({}, at), 0);
  t.is(decideShare(requestOf(large), at)?.cause, "size");
  t.is(countRefused(large, { ...at, room: roomOf(350) }), 0);
});

test("a request that can't begin while its caller waits is refused", (t) => {
  const at = { room: roomOf(300), rules: RULES, work: [] };
  t.is(decideShare(requestOf(), at), undefined);
  t.is(decideShare(requestOf({ timeLeftMs: 350 }), at)?.cause, "late");
});

test("refused callers come back spread, the urgent sooner, within what they honour", (t) => {
  const at = { room: roomOf(1_300), rules: RULES, work: [] };
  const delays = (fields: Partial<ShareRequest>) =>
    Array.from({ length: 200 }, (_, index) => {
      const requestId = brandId<RequestId>(`q-${index}`);
      const refusal = decideShare(requestOf({ requestId, ...fields }), at);
      return refusal!.retryInMs;
    }).sort((a, b) => a - b);
  const less = delays({});
  const urgent = delays({ urgency: 0, targetMs: 1_200 });
  t.true(less[100]! > urgent[100]!);
  t.true(less[190]! - less[10]! > 300, "not all at the same time");
  // With the jitter that is added later.
  t.true(less[199]! * 1.5 <= 5_000 / 3);
  t.true(delays({ timeLeftMs: 450 }).every((delayMs) => delayMs === 250));
});
