import test from "ava";
import { shedRetryMs, type WaitingPrompt } from "./turn_away.ts";

function prompt(fields: Partial<WaitingPrompt> = {}): WaitingPrompt {
  return {
    tokensAhead: 30_000,
    tokensToRead: 9_190,
    targetMs: 800,
    urgency: 1,
    hasBegun: false,
    ...fields,
  };
}

test("a prompt behind a queue longer than its target is turned away", (t) => {
  t.truthy(shedRetryMs(prompt()));
  t.is(shedRetryMs(prompt({ tokensAhead: 8_000 })), undefined);
});

test("a prompt whose shared parts are kept still gets in", (t) => {
  const tokensAhead = 16_000;
  t.truthy(shedRetryMs(prompt({ tokensAhead })));
  t.is(shedRetryMs(prompt({ tokensAhead, tokensToRead: 2_890 })), undefined);
});

test("urgent short prompts overtake and get in for longer", (t) => {
  const short = prompt({ tokensToRead: 628, targetMs: 1_000, urgency: 0 });
  t.is(shedRetryMs(short), undefined);
  t.truthy(shedRetryMs({ ...short, tokensAhead: 45_000 }));
});

test("an idle engine refuses no prompt, however long", (t) => {
  t.is(
    shedRetryMs(prompt({ tokensAhead: 0, tokensToRead: 40_000 })),
    undefined,
  );
});

test("an answer that has begun goes on behind any queue", (t) => {
  t.is(shedRetryMs(prompt({ tokensAhead: 90_000, hasBegun: true })), undefined);
});

test("a prompt returns when the queue will be short enough", (t) => {
  const retryInMs = shedRetryMs(prompt({ tokensAhead: 41_210 }))!;
  // 50,400 tokens take 1,800 ms, and 800 ms are on time.
  t.is(retryInMs, 1_000);
  t.is(shedRetryMs(prompt({ tokensAhead: 14_000 })), 250);
});

/**
 * Replays the load of tollhaven's scale-1 after two of six engines fell silent
 * and one was taken away, as one of the three others meets it: a long prompt
 * every 285 ms and 12 short ones a second. Behind a long queue the shared parts
 * are evicted before they are used again.
 */
function countOnTime(shedsLoad: boolean): number {
  const tokensBetween = 285 * 28;
  const shortTokens = 12 * 0.285 * 826;
  // The queue that the failure leaves behind.
  let queue = 30_000;
  let onTime = 0;
  for (let index = 0; index < 100; index++) {
    queue = Math.max(0, queue + shortTokens - tokensBetween);
    const tokensToRead = queue > 12_000 ? 9_190 : 2_890;
    const next = prompt({ tokensAhead: queue, tokensToRead });
    if (shedsLoad && shedRetryMs(next) !== undefined) continue;
    queue += tokensToRead;
    if (queue / 28 <= next.targetMs) onTime += 1;
  }
  return onTime;
}

test("an overloaded engine recovers when late prompts are turned away", (t) => {
  t.is(countOnTime(false), 0);
  t.true(countOnTime(true) >= 90);
});
