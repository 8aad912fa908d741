import test from "ava";
import {
  type BackendServerId,
  brandId,
  type RequestId,
} from "@endivebend/types";
import { RequestRun } from "./mod.ts";
import { placeRequest } from "./placement.ts";
import { type PaceTracker, type ServerPace, usualPace } from "./server_pace.ts";
import {
  answerHead,
  FakeCaller,
  listedServer,
  routedRequest,
  testContext,
} from "./testing.ts";
import type { PromptSegmentId, RoutedRequest } from "./types.ts";

const NONE: ReadonlySet<BackendServerId> = new Set();

/** A prompt of which no engine has anything cached. */
function prompt(id: string, tokens = 4_000): RoutedRequest {
  const base = routedRequest("stream", { requestId: brandId<RequestId>(id) });
  const own = { id: brandId<PromptSegmentId>(id), tokens };
  const work = { ...base.work!, promptTokens: tokens, prompt: [own] };
  return { ...base, work };
}

/** Servers with paces of their own, in a service where paces are in use. */
function service(
  paces: Readonly<Record<string, Partial<ServerPace>>>,
  fields: Partial<Parameters<typeof testContext>[0]> = {},
) {
  const pace: PaceTracker = {
    of: ({ listed }) => ({ ...usualPace(listed), ...paces[listed.id] }),
    isInUse: () => true,
    sent: () => {
      throw new Error("Nothing is sent");
    },
  };
  const context = testContext({ pace, ...fields });
  const { registry } = context;
  for (const id of ["one", "second"]) registry.forgetMoved(brandId(id));
  for (const id of Object.keys(paces)) registry.upsert(listedServer(id));
  const queue = (id: string, tokens: number) =>
    registry.get(brandId(id))!.ownWork.set(brandId(`queue-${tokens}`), {
      prefillTokens: tokens,
    });
  const place = (request: RoutedRequest) => {
    const at = { ...context, exclude: NONE, hasBegun: false, nowMs: 1_000 };
    const placement = placeRequest(request, at);
    return placement.kind === "placed"
      ? placement.server.listed.id as string
      : placement.reason;
  };
  return { context, registry, queue, place };
}

// Two prompts in a fast engine mean less of a wait than one in a slow one.
test("a prompt goes where its wait is shorter, not where fewer tokens wait", (t) => {
  const { queue, place } = service({
    fast: { tokensPerMs: 61, queueTokensPerMs: 61 },
    slow: { tokensPerMs: 23, queueTokensPerMs: 23 },
  });
  queue("fast", 6_000);
  queue("slow", 4_000);
  t.is(place(prompt("q-1")), "fast");
});

test("a call goes to the server at which it takes less time", (t) => {
  const { place } = service({
    fast: { callMs: () => 20 },
    slow: { callMs: () => 60 },
  });
  for (const id of ["q-1", "q-2", "q-3", "q-4"]) {
    const request = routedRequest("repeatable", {
      requestId: brandId<RequestId>(id),
    });
    t.is(place(request), "fast");
  }
});

test("a queue that a slow server can't read in time is shed, elsewhere it is not", (t) => {
  const slow = { tokensPerMs: 12, queueTokensPerMs: 12 };
  for (const [pace, expected] of [[slow, "overloaded"], [{}, "one"]] as const) {
    const { queue, place } = service({ one: pace });
    queue("one", 8_000);
    t.is(place(prompt("q-1")), expected);
  }
});

test("no prompt queues at a slow server until its weights are too old", (t) => {
  const named = [{ weights: 2, firstSeenAtMs: -4_000, isAgeKnown: true }];
  for (
    const [tokensPerMs, expected] of [
      [38.4, "one"],
      [10, "stale_weights"],
    ] as const
  ) {
    const { queue, place } = service({ one: { tokensPerMs } }, {
      namedWeights: () => named as never,
    });
    queue("one", 9_000);
    t.is(place(prompt("q-1", 100)), expected);
  }
});

test("a server that starts gets no more than its places while others are free", (t) => {
  const { place } = service({
    starting: { maxRunning: 4, maxOwnRunning: 0 },
    other: {},
    third: {},
  });
  for (let count = 0; count < 20; count++) {
    t.not(place(prompt(`q-${count}`)), "starting");
  }
});

// A limit instead of a cost would refuse while the new server is idle.
test("a slow start refuses nothing where other servers are full", (t) => {
  const { registry, place } = service({
    starting: { maxRunning: 4, maxOwnRunning: 0 },
    other: {},
  });
  const other = registry.get(brandId("other"))!;
  for (let count = 0; count < 16; count++) {
    other.ownWork.set(brandId(`busy-${count}`), { prefillTokens: 0 });
  }
  for (let count = 0; count < 5; count++) {
    t.is(place(prompt(`q-${count}`)), "starting");
  }
});

test("a slow start sheds nothing that the new server could take", (t) => {
  const { queue, place } = service({
    starting: { maxRunning: 4, maxOwnRunning: 0 },
    other: {},
  });
  // Read in 390 ms, which with 400 ms for a place is the lower cost, but late.
  queue("other", 15_000);
  const urgent = prompt("q-1", 8_000);
  t.is(place(urgent), "starting");
});

test("where all servers start, none gets more or less than before", (t) => {
  const start = { maxRunning: 4, maxOwnRunning: 0 };
  const { place } = service({ one: start, other: start });
  const used = new Set<string>();
  for (let count = 0; count < 20; count++) {
    used.add(place(prompt(`q-${count}`)));
  }
  t.deepEqual([...used].sort(), ["one", "other"]);
});

/** A large service, of which most servers are full. */
function largeService() {
  const ids = Array.from({ length: 40 }, (_, index) => `e${index}`);
  return service(Object.fromEntries(ids.map((id) => [id, {}])));
}

// All daemons that know the same sent their requests to the same idle engine.
test("requests at the same moment go to different servers of equal cost", (t) => {
  const { queue, place } = largeService();
  for (let index = 1; index < 40; index++) queue(`e${index}`, 900);
  const used = new Map<string, number>();
  for (let count = 0; count < 100; count++) {
    const id = place(prompt(`q-${count}`));
    used.set(id, (used.get(id) ?? 0) + 1);
  }
  t.true(used.get("e0")! < 25, `${used.get("e0")}`);
  t.true(used.size > 25, `${used.size}`);
});

// A sample of all domains would often have no server of the own one.
test("requests stay where the balance between domains wants them", (t) => {
  const ids = Array.from({ length: 40 }, (_, index) => `e${index}`);
  const { place, queue } = service(
    Object.fromEntries(ids.map((id) => [id, {}])),
    {
      balance: {
        costMs: ({ listed }) => Number(listed.id.slice(1)) < 10 ? 0 : 60,
      },
    },
  );
  for (let count = 0; count < 50; count++) {
    const id = place(prompt(`q-${count}`));
    t.true(Number(id.slice(1)) < 10, id);
  }
  for (let index = 0; index < 10; index++) queue(`e${index}`, 12_000);
  for (let count = 0; count < 50; count++) {
    const id = place(prompt(`q-${count}`));
    t.true(Number(id.slice(1)) >= 10, id);
  }
});

test("a request is not shed because the few servers it asks are full", (t) => {
  const { queue, place } = largeService();
  for (let index = 1; index < 40; index++) queue(`e${index}`, 40_000);
  for (let count = 0; count < 20; count++) {
    t.is(place(prompt(`q-${count}`)), "e0");
  }
});

test("prompts that share segments stay together in a large service", (t) => {
  const { place } = largeService();
  const used = new Set<string>();
  for (let count = 0; count < 20; count++) {
    const requestId = brandId<RequestId>(`q-${count}`);
    used.add(place(routedRequest("stream", { requestId })));
  }
  t.is(used.size, 1);
});

/** A run whose attempts tell of their steps. */
function startRun(kind: "resumable_stream" | "repeatable") {
  const steps: string[] = [];
  const pace = {
    of: ({ listed }: { readonly listed: { readonly slots: number } }) =>
      usualPace(listed),
    isInUse: () => false,
    sent: (
      { listed, ownWork }: Parameters<PaceTracker["sent"]>[0],
      { isSpoiled, tokensToRead }: Parameters<PaceTracker["sent"]>[1],
    ) => {
      const { id } = listed;
      const kind = tokensToRead === undefined ? "call" : "prompt";
      const how = isSpoiled ? "spoiled" : "good";
      steps.push(`${kind} sent ${how}, ${ownWork.size} before`);
      return {
        progressed: () => void steps.push(`progressed ${id}`),
        ended: () => void steps.push(`ended ${id}`),
        spoil: () => void steps.push(`spoiled ${id}`),
      };
    },
  } as unknown as PaceTracker;
  const context = testContext({ pace });
  const { client, time } = context;
  new RequestRun(context, routedRequest(kind), new FakeCaller()).start();
  client.last.listener.sent();
  return { client, time, steps, id: client.last.order.server.id as string };
}

const EVENT = Buffer.from("id: 1\ndata: 1\n\n");

test("an attempt tells when it was sent, goes on and ends", (t) => {
  const { client: { last: { listener } }, steps, id } = startRun(
    "resumable_stream",
  );
  listener.head(answerHead());
  listener.data(EVENT);
  listener.end();
  t.deepEqual(steps, [
    "prompt sent good, 0 before",
    `progressed ${id}`,
    `ended ${id}`,
  ]);
});

test("a silent attempt and the one that replaces it don't count", (t) => {
  const { client, time, steps, id } = startRun("resumable_stream");
  client.last.listener.head(answerHead());
  client.last.listener.data(EVENT);
  time.advance(1_100);
  t.is(client.attempts.length, 2);
  t.true(steps.includes(`spoiled ${id}`));
  t.true(steps.at(-1)!.startsWith("prompt sent spoiled"));
});

test("an error answer does not count as a fast call", (t) => {
  const { client: { last: { listener } }, steps, id } = startRun("repeatable");
  listener.head(answerHead({ status: 404 }));
  listener.end();
  t.deepEqual(steps.slice(0, 2), [
    "call sent good, 0 before",
    `spoiled ${id}`,
  ]);
});
