import test from "ava";
import fc from "fast-check";
import { brandId } from "@endivebend/types";
import type { RequestId, TeamId } from "@endivebend/types";
import { FairQueue } from "./mod.ts";
import type { FairQueueOptions, Permit, QueueEntry } from "./mod.ts";

const SEED = 20261204;
const TAKES_NEW_WORK = { takesNewWork: true };

let nextId = 0;
function entry(team: string, fields: Partial<QueueEntry> = {}): QueueEntry {
  return {
    requestId: brandId<RequestId>(`r${nextId++}`),
    team: brandId<TeamId>(team),
    costTokens: 10_000,
    deadlineMs: 1e9,
    ...fields,
  };
}

/** Runs a simulated engine that prefills one request after the other. */
function serve(
  queue: FairQueue,
  options: {
    readonly untilMs: number;
    readonly arrivals?: ReadonlyMap<number, readonly QueueEntry[]>;
  },
): { permit: Permit; endMs: number }[] {
  const served: { permit: Permit; endMs: number }[] = [];
  const sentPermits: Permit[] = [];
  let freeAtMs = 0;
  for (let nowMs = 0; nowMs < options.untilMs; nowMs++) {
    for (const arrival of options.arrivals?.get(nowMs) ?? []) {
      queue.enqueue(arrival, nowMs);
    }
    sentPermits.push(...queue.grantPermits(nowMs, TAKES_NEW_WORK).permits);
    if (nowMs < freeAtMs) {
      continue;
    }
    sentPermits.sort((a, b) => a.enginePriority - b.enginePriority);
    const permit = sentPermits.shift();
    if (permit !== undefined) {
      freeAtMs = nowMs + Math.ceil(permit.prefillTokens / 10);
      served.push({ permit, endMs: freeAtMs });
      queue.markPrefilled(permit.requestId, freeAtMs);
      queue.release(permit.requestId);
    }
  }
  return served;
}

// Guards against a backlogged team that gets more than its share.
test("two backlogged teams differ by at most two of their largest requests", (t) => {
  const cost = fc.integer({ min: 2_001, max: 40_000 });
  fc.assert(
    fc.property(
      fc.array(cost, { minLength: 30, maxLength: 60 }),
      fc.array(cost, { minLength: 30, maxLength: 60 }),
      (first, second) => {
        const queue = new FairQueue();
        first.forEach((costTokens) =>
          queue.enqueue(entry("a", { costTokens }), 0)
        );
        second.forEach((costTokens) =>
          queue.enqueue(entry("b", { costTokens }), 0)
        );
        const grantedTokens = { a: 0, b: 0 };
        const waitingCounts = { a: first.length, b: second.length };
        const bound = Math.max(...first) + Math.max(...second);
        while (waitingCounts.a > 0 && waitingCounts.b > 0) {
          for (const permit of queue.grantPermits(0, TAKES_NEW_WORK).permits) {
            const team = permit.team as string as "a" | "b";
            grantedTokens[team] += permit.prefillTokens;
            waitingCounts[team]--;
            queue.release(permit.requestId);
            if (waitingCounts.a > 0 && waitingCounts.b > 0) {
              t.true(Math.abs(grantedTokens.a - grantedTokens.b) <= bound);
            }
          }
        }
      },
    ),
    { seed: SEED, numRuns: 200 },
  );
});

// Guards against an overloading team that delays the requests of others.
test("a team at ten times its rate does not move another team's wait", (t) => {
  const measureWaitsMs = (heavyPerTick: number) => {
    const queue = new FairQueue();
    const arrivals = new Map<number, QueueEntry[]>();
    const startMs = new Map<RequestId, number>();
    for (let nowMs = 0; nowMs < 60_000; nowMs += 2_500) {
      const light = entry("light", { costTokens: 4_000 });
      startMs.set(light.requestId, nowMs);
      const heavy = Array.from({ length: heavyPerTick }, () => entry("heavy"));
      arrivals.set(nowMs, [...heavy, light]);
    }
    const served = serve(queue, { untilMs: 60_000, arrivals });
    return served.flatMap(({ permit, endMs }) => {
      const start = startMs.get(permit.requestId);
      return start === undefined ? [] : [endMs - start];
    });
  };
  const [alone, besideHeavyLoad] = [measureWaitsMs(2), measureWaitsMs(20)];
  t.is(besideHeavyLoad.length, alone.length);
  // The engine holds at most two long prefills when a request arrives.
  t.true(Math.max(...besideHeavyLoad) <= Math.max(...alone) + 2_000);
});

// Guards against a long prompt that never runs because short prompts of another
// team are always served first.
test("a flood of short prompts does not starve another team's long prompt", (t) => {
  const queue = new FairQueue({ maxTeamEntries: 5_000 });
  const arrivals = new Map<number, QueueEntry[]>();
  for (let nowMs = 0; nowMs < 20_000; nowMs += 50) {
    arrivals.set(nowMs, [entry("flood", { costTokens: 1_000 })]);
  }
  const long = entry("quiet", { costTokens: 30_000 });
  arrivals.get(5_000)!.push(long);
  const served = serve(queue, { untilMs: 20_000, arrivals });
  t.true(served.some(({ permit }) => permit.requestId === long.requestId));
});

// Guards against a short prompt that waits for long prefills.
test("a short prompt gets its permit while long prefills fill the window", (t) => {
  const queue = new FairQueue();
  for (let count = 0; count < 10; count++) {
    queue.enqueue(entry("a", { costTokens: 50_000 }), 0);
  }
  queue.grantPermits(0, TAKES_NEW_WORK);
  const short = entry("b", { costTokens: 300 });
  queue.enqueue(short, 1);
  const { permits } = queue.grantPermits(1, TAKES_NEW_WORK);
  t.deepEqual(permits.map((permit) => permit.requestId), [short.requestId]);
  t.is(permits[0]?.enginePriority, 0);
});

// Guards against unbounded queues, refused requests that change the queue, and
// a Retry-After that is too short.
test("bounds hold, and a refused request is accepted after its Retry-After", (t) => {
  const options: Partial<FairQueueOptions> = {
    maxTeamEntries: 5,
    maxTeamTokens: 60_000,
  };
  const costs = fc.array(fc.integer({ min: 1, max: 30_000 }), {
    minLength: 1,
    maxLength: 30,
  });
  fc.assert(
    fc.property(costs, fc.integer({ min: 1, max: 4 }), (sizes, teams) => {
      const queue = new FairQueue(options);
      sizes.forEach((costTokens, index) => {
        queue.enqueue(entry(`t${index % teams}`, { costTokens }), 0);
      });
      t.true(queue.waitingCount <= 5 * teams);
      t.true(queue.waitingTokens <= 60_000 * teams);
      const before = queue.waitingCount;
      const late = entry("t0", { costTokens: 20_000 });
      const result = queue.enqueue(late, 0);
      if (result.kind === "refused") {
        t.is(queue.waitingCount, before);
        serve(queue, { untilMs: result.retryAfterMs });
        t.is(queue.enqueue(late, result.retryAfterMs).kind, "queued");
      }
    }),
    { seed: SEED, numRuns: 100 },
  );
});

// Guards against work for callers that no longer wait, and against permits
// that a paused router never releases.
test("expired entries and permits leave, cancelled ones never run", (t) => {
  const queue = new FairQueue({ permitLifetimeMs: 100, maxRunningRequests: 1 });
  const [first, late, cancelled] = [
    entry("a"),
    entry("a", { deadlineMs: 50_000 }),
    entry("a"),
  ];
  for (const waiting of [first, late, cancelled]) {
    queue.enqueue(waiting, 0);
  }
  t.is(
    queue.grantPermits(0, TAKES_NEW_WORK).permits[0]?.requestId,
    first.requestId,
  );
  t.true(queue.cancel(cancelled.requestId));
  t.is(queue.grantPermits(99, TAKES_NEW_WORK).permits.length, 0);
  const result = queue.grantPermits(50_000, TAKES_NEW_WORK);
  t.deepEqual(result.expired, [late]);
  t.is(queue.runningCount, 0);
  t.is(queue.waitingCount, 0);
});

// Guards against an estimate that ignores the fair order: a team without
// waiting requests does not wait for another team's whole backlog.
test("the expected wait counts what comes first in the fair order", (t) => {
  const queue = new FairQueue({ prefillTokensPerMs: 10 });
  for (let count = 0; count < 8; count++) {
    queue.enqueue(entry("heavy"), 0);
  }
  queue.grantPermits(0, TAKES_NEW_WORK);
  t.is(queue.expectedWaitMs(entry("light"), 0), 1_000);
  t.is(queue.expectedWaitMs(entry("light"), 400), 600);
  t.is(queue.expectedWaitMs(entry("heavy"), 0), 8_000);
  t.is(queue.expectedWaitMs(entry("light", { costTokens: 100 }), 0), 0);
});
