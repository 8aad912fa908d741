import test from "ava";
import { EventFrames } from "./mod.ts";

test("an event split at any byte is returned once and complete", (t) => {
  const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
  for (let cut = 0; cut <= text.length; cut++) {
    const frames = new EventFrames();
    const events = [
      ...frames.push(Buffer.from(text.slice(0, cut))),
      ...frames.push(Buffer.from(text.slice(cut))),
    ];
    t.deepEqual(events.map(({ id }) => id), ["1", "2"]);
    t.is(events.map(({ bytes }) => bytes.toString()).join(""), text);
    t.false(frames.hasPartialEvent);
  }
});

test("the start of an event is buffered until its end arrives", (t) => {
  const frames = new EventFrames();
  t.deepEqual(frames.push(Buffer.from("id: 1\ndata: a\n")), []);
  t.true(frames.hasPartialEvent);
});

test("an unterminated event above the size limit is malformed", (t) => {
  const frames = new EventFrames();
  t.throws(() => frames.push(Buffer.alloc(1_100_000, 0x61)), {
    message: /larger than 1 MiB/,
  });
});
