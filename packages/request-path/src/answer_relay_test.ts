import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import test from "ava";
import { MemoryBudget } from "@endivebend/byte-buffers";
import { AnswerRelay } from "./answer_relay.ts";
import { answerHead, FakeCaller, routedRequest } from "./testing.ts";
import type { RequestKind } from "./types.ts";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Memory that is alive, in the heap and in buffers. */
function usedBytes(): number {
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

const READ = Buffer.alloc(65_536, "x");

function relayWith(kind: RequestKind, status: number) {
  const caller = new FakeCaller();
  const relay = new AnswerRelay(
    routedRequest(kind),
    caller,
    new MemoryBudget(67_108_864),
  );
  relay.head(answerHead({ status }));
  return { caller, relay };
}

// Guards against answers that cost more than their bytes: four failures in
// chunks of one byte exhausted the heap.
for (
  const [what, kind, status] of [
    ["a failure", "repeatable", 500],
    ["a plain answer", "at_most_once", 200],
    ["an event", "resumable_stream", 200],
  ] as const
) {
  test(`${what} in chunks of one byte costs at most twice its bytes`, (t) => {
    const answerBytes = 262_144;
    const relays = [1, 2, 3, 4].map(() => relayWith(kind, status));
    const beforeBytes = usedBytes();
    for (let at = 0; at < answerBytes; at++) {
      const from = at % READ.length;
      for (const { relay } of relays) {
        relay.data(READ.subarray(from, from + 1));
      }
    }
    const costBytes = usedBytes() - beforeBytes;
    t.true(
      costBytes <= 2 * answerBytes * relays.length,
      `${costBytes} bytes for ${relays.length} x ${answerBytes}`,
    );
  });
}

test("a long plain answer in short chunks reaches the caller whole", (t) => {
  const { caller, relay } = relayWith("at_most_once", 200);
  let text = "";
  for (let at = 0; at < 300; at++) {
    const chunk = String(at).repeat(400);
    text += chunk;
    relay.data(Buffer.from(chunk));
  }
  relay.end();
  t.true(text.length > 262_144);
  t.is(caller.text, text);
  t.true(caller.hasEnded);
});

test("without memory a failure is given up and a plain answer is relayed", (t) => {
  const full = new MemoryBudget(100_000);
  full.tryTake("answer", 60_000);
  const start = (status: number) => {
    const caller = new FakeCaller();
    const relay = new AnswerRelay(routedRequest("repeatable"), caller, full);
    relay.head(answerHead({ status }));
    return { caller, relay };
  };
  const failure = start(500).relay.data(Buffer.alloc(60_000));
  t.is(failure.malformed, "error_too_large");
  const plain = start(200);
  plain.relay.data(Buffer.from("first "));
  t.is(plain.caller.text, "");
  plain.relay.data(Buffer.alloc(60_000, "x"));
  t.is(plain.caller.text.length, 60_006);
  plain.relay.end();
  t.true(plain.caller.hasEnded);
  t.is(full.usedBytes, 60_000);
});
