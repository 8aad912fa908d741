import { Buffer } from "node:buffer";
import test from "ava";
import { DatagramPacer } from "./datagram_pacer.ts";

/** A pacer whose timers are run by hand, and what it has sent. */
function createPacer() {
  const sent: { readonly address: string; readonly text: string }[] = [];
  let nowMs = 0;
  let due: { readonly atMs: number; readonly task: () => void }[] = [];
  const pacer = new DatagramPacer({
    scheduler: {
      after: (delayMs, task) => {
        due.push({ atMs: nowMs + delayMs, task });
        return () => {};
      },
    },
    nowMs: () => nowMs,
    send: (address, bytes) =>
      sent.push({ address, text: bytes.subarray(0, 3).toString() }),
  });
  const run = (durationMs: number) => {
    for (const untilMs = nowMs + durationMs; nowMs < untilMs;) {
      nowMs += 1;
      const ready = due.filter(({ atMs }) => atMs <= nowMs);
      due = due.filter(({ atMs }) => atMs > nowMs);
      for (const { task } of ready) task();
    }
  };
  return { pacer, sent, run };
}

const large = (text: string) => Buffer.from(text.padEnd(12_000));
const ADDRESSES = Array.from({ length: 18 }, (_, index) => `10.0.0.${index}:1`);

test("large datagrams to many daemons go out one after another", (t) => {
  const { pacer, sent, run } = createPacer();
  pacer.send(ADDRESSES, "a", large("one"));
  t.is(sent.length, 1);
  run(100);
  t.true(sent.length >= 7 && sent.length <= 10, `${sent.length}`);
  run(200);
  t.deepEqual(sent.map(({ address }) => address), ADDRESSES);
});

test("a newer datagram takes the turn of one that still waits", (t) => {
  const { pacer, sent, run } = createPacer();
  pacer.send(ADDRESSES, "a", large("old"));
  pacer.send(ADDRESSES.slice(-1), "b", large("oth"));
  pacer.send(ADDRESSES, "a", large("new"));
  run(400);
  const texts = sent.map(({ text }) => text);
  t.deepEqual(texts, [
    "old",
    ...ADDRESSES.slice(1).map(() => "new"),
    "oth",
    "new",
  ]);
});

test("nothing that waits is sent after the pacer is cleared", (t) => {
  const { pacer, sent, run } = createPacer();
  pacer.send(ADDRESSES, "a", large("one"));
  pacer.clear();
  run(400);
  t.is(sent.length, 1);
});
