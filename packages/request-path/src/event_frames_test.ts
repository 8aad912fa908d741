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

test("an event in chunks of any length is the same as in one", (t) => {
  const text = "id: 1\ndata: a\n\n\r\n: wait\r\n\r\nid: 22\r\ndata: \r\r\n\n" +
    "data: b\r\n\r\n";
  const whole = new EventFrames().push(Buffer.from(text));
  for (let length = 1; length < text.length; length++) {
    const frames = new EventFrames();
    const events = [];
    for (let at = 0; at < text.length; at += length) {
      events.push(...frames.push(Buffer.from(text.slice(at, at + length))));
    }
    t.deepEqual(events, whole, `${length}`);
    t.false(frames.hasPartialEvent);
  }
});

// Guards against events that are searched and copied anew with each chunk: one
// in short chunks stopped the process for seconds.
test.serial("each byte of an event in short chunks is searched and copied a few times at most", (t) => {
  const eventBytes = 16_384;
  const original = {
    indexOf: Buffer.prototype.indexOf,
    copy: Buffer.prototype.copy,
    concat: Buffer.concat,
    from: Buffer.from,
  };
  let touchedBytes = 0;
  Buffer.prototype.indexOf = function (this: Buffer, ...args: never) {
    const found = original.indexOf.apply(this, args);
    const [, from = 0] = args as [unknown, number?];
    touchedBytes += (found < 0 ? this.length : found + 1) - from;
    return found;
  };
  Buffer.prototype.copy = function (this: Buffer, ...args: never) {
    const copied = original.copy.apply(this, args);
    touchedBytes += copied;
    return copied;
  };
  Buffer.concat = (...args) => {
    const joined = original.concat(...args);
    touchedBytes += joined.length;
    return joined;
  };
  Buffer.from = ((...args: Parameters<typeof Buffer.from>) => {
    const made = original.from(...args);
    touchedBytes += made.length;
    return made;
  }) as typeof Buffer.from;
  t.teardown(() => {
    Buffer.prototype.indexOf = original.indexOf;
    Buffer.prototype.copy = original.copy;
    Buffer.concat = original.concat;
    Buffer.from = original.from;
  });
  for (const line of ["data: a\n", "x"]) {
    const frames = new EventFrames();
    const bytes = Buffer.alloc(eventBytes, line);
    touchedBytes = 0;
    for (let at = 0; at < eventBytes; at += 2) {
      frames.push(bytes.subarray(at, at + 2));
    }
    t.true(touchedBytes <= 4 * eventBytes, `${touchedBytes} bytes`);
  }
});
