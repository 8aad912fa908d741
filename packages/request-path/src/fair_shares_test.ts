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

/** Work of a team; the room's servers prefill 300 tokens in a millisecond. */
function workOf(team: TeamId, fields: Partial<TeamWork>): TeamWork {
  return {
    team,
    urgency: 2,
    requests: 40,
    prefillTokens: 100_000,
    demandPerMs: 0,
    ...fields,
  };
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
    queueMs: 1_100,
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
    hasShortage(roomOf(queueMs), { rules: RULES, wasShort, usualReadMs: 30 });
  t.false(is(150, false));
  t.true(is(250, false));
  t.true(is(150, true));
  t.false(is(50, true));
  const waiting = roomOf(0, { waiting: 120 });
  const none = { rules: RULES, wasShort: false, usualReadMs: 30 };
  t.true(hasShortage(waiting, none));
});

// Engines that prefill one large prompt each have nothing queued.
test("prompts that are being prefilled are no shortage", (t) => {
  const is = (queueMs: number, wasShort: boolean) =>
    hasShortage(roomOf(queueMs), { rules: RULES, wasShort, usualReadMs: 220 });
  t.false(is(400, false));
  t.true(is(460, false));
  t.false(is(200, true));
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
    work: [
      workOf(LARGE, { prefillTokens: 300_000 }),
      workOf(SMALL, { prefillTokens: 20_000, urgency: 0 }),
    ],
  };
  t.is(countRefused({ team: LARGE }, at), 100);
  const urgent = { urgency: 0, targetMs: 400, queueMs: 1_000, readMs: 20 };
  t.is(countRefused(urgent, at), 0);
});

test("what a team asks for above its part is refused, and nothing of the others'", (t) => {
  const work = [
    workOf(LARGE, { demandPerMs: 400 }),
    workOf(SMALL, { demandPerMs: 30 }),
  ];
  const at = { room: roomOf(648), rules: RULES, work };
  const refused = countRefused({ team: LARGE }, at);
  t.true(refused > 22 && refused < 42, "270 of 400 tokens fit");
  t.is(countRefused({ team: SMALL }, at), 0);
  const weights = new Map([[LARGE, 20], [SMALL, 1]]);
  const weighted = { ...at, rules: { ...RULES, weights } };
  t.true(countRefused({ team: SMALL }, weighted) > 30, "14 of 30 tokens fit");
});

test("a team's urgent requests take of its part before its others", (t) => {
  const work = [
    workOf(LARGE, { demandPerMs: 200, urgency: 0 }),
    workOf(LARGE, { demandPerMs: 200 }),
    workOf(SMALL, { demandPerMs: 30 }),
  ];
  const at = { room: roomOf(648), rules: RULES, work };
  t.is(countRefused({ team: LARGE, urgency: 0 }, at), 0);
  const refused = countRefused({ team: LARGE }, at);
  t.true(refused > 55 && refused < 75, "70 of 200 tokens fit");
});

// With the mean alone, engines with short queues were left idle.
test("nobody is refused for the mean backlog while a server has a short queue", (t) => {
  const work = [workOf(LARGE, { demandPerMs: 300 })];
  const at = { room: roomOf(1_500), rules: RULES, work };
  t.is(countRefused({ team: LARGE, queueMs: 1_200 }, at), 100);
  t.is(countRefused({ team: LARGE, queueMs: 200 }, at), 0);
});

test("while nothing is known of teams, requests are refused by the wait alone", (t) => {
  const at = { room: roomOf(860), rules: RULES, work: [] };
  t.is(countRefused({}, at), 0);
  t.is(countRefused({}, { ...at, room: roomOf(1_200) }), 100);
});

test("a large request is refused at a shorter wait, but not at any", (t) => {
  const at = { room: roomOf(710), rules: RULES, work: [] };
  const large = { tokensToRead: 9_000, readMs: 300 };
  t.is(countRefused({}, at), 0);
  t.true(countRefused(large, at) > 70);
  t.is(countRefused(large, { ...at, room: roomOf(350) }), 0);
  const scaled = { ...at, room: roomOf(800) };
  t.is(decideShare(requestOf(large), scaled)?.cause, "size");
});

test("a request that can't begin while its caller waits is refused", (t) => {
  const at = { room: roomOf(300), rules: RULES, work: [] };
  t.is(decideShare(requestOf(), at), undefined);
  t.is(decideShare(requestOf({ timeLeftMs: 1_150 }), at)?.cause, "late");
});

test("refused callers come back spread, the urgent sooner, within what they honour", (t) => {
  const at = { room: roomOf(1_600), rules: RULES, work: [] };
  const delays = (fields: Partial<ShareRequest>) =>
    Array.from({ length: 200 }, (_, index) => {
      const requestId = brandId<RequestId>(`q-${index}`);
      const refusal = decideShare(
        requestOf({ requestId, queueMs: 1_500, ...fields }),
        at,
      );
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
