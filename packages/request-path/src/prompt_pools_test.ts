import test from "ava";
import { type BackendServerId, brandId } from "@endivebend/types";
import { type Candidate, chooseServer } from "./choose_server.ts";
import { assignPools, needsPools } from "./prompt_pools.ts";

const ENGINES = Array.from(
  { length: 42 },
  (_, index) => brandId<BackendServerId>(`e-${index}`),
);

function candidate(
  id: BackendServerId,
  fields: Partial<Candidate> = {},
): Candidate {
  return {
    id,
    failureDomain: "a",
    running: 4,
    slots: 48,
    prefillTokens: 0,
    cachedTokens: 0,
    failureRate: 0,
    isAvoided: false,
    isLoading: false,
    staleWeightsCostMs: 0,
    scarcity: 0,
    ...fields,
  };
}

function place(key: string, fields: {
  readonly promptTokens: number;
  readonly busyTokens?: number;
}) {
  const { promptTokens, busyTokens = 0 } = fields;
  const pools = assignPools(ENGINES);
  const choice = chooseServer(
    {
      promptTokens,
      sharedTokens: promptTokens * 0.6,
      fetchableTokens: 0,
      affinityKey: key,
      failureDomain: "a",
      usesPools: true,
    },
    ENGINES.map((id) =>
      candidate(id, {
        prefillTokens: pools.get(id) === "long" ? busyTokens : 0,
      })
    ),
  );
  return pools.get(choice!.id);
}

test("pools are needed where an event waits for many steps", (t) => {
  t.true(needsPools({ tokensPerEvent: 6, maxGapMs: 400 }));
  t.false(needsPools({ tokensPerEvent: 4, maxGapMs: 400 }));
  t.false(needsPools({ tokensPerEvent: 1, maxGapMs: undefined }));
});

/**
 * Without pools, half of the short prompts on the grown sites paused for 403 to
 * 597 ms while long ones were prefilled on one engine. 400 ms is the limit.
 */
test("long prompts are not prefilled where short ones stream", (t) => {
  for (let index = 0; index < 200; index++) {
    t.is(place(`long-${index}`, { promptTokens: 9_190 }), "long");
    t.is(place(`short-${index}`, { promptTokens: 826 }), "short");
  }
});

test("long prompts use every engine when their own pool queues", (t) => {
  t.is(place("long", { promptTokens: 9_190, busyTokens: 60_000 }), "short");
});

test("few engines are not divided", (t) => {
  t.is(assignPools(ENGINES.slice(0, 5)).size, 0);
});
