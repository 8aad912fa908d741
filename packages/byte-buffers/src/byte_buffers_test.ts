import test from "ava";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { ByteCollector, ChunkBatch } from "./mod.ts";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Memory that is alive, in the heap and in buffers. */
function usedBytes(): number {
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

test("chunks of any length come back as they were", (t) => {
  const text = "abcdefghij".repeat(1_000);
  for (const length of [1, 2, 7, 1_023, 1_024, 1_025, 10_000]) {
    const collector = new ByteCollector({ maxBytes: text.length });
    for (let at = 0; at < text.length; at += length) {
      t.true(collector.append(Buffer.from(text.slice(at, at + length))));
    }
    t.is(collector.length, text.length);
    t.is(collector.take().toString(), text);
    t.is(collector.length, 0);
    t.is(collector.take().length, 0);
  }
});

test("a chunk over the limit is not kept, what came before it is", (t) => {
  const collector = new ByteCollector({ maxBytes: 4 });
  t.true(collector.append(Buffer.from("abcd")));
  t.false(collector.append(Buffer.from("e")));
  t.is(collector.take().toString(), "abcd");
});

// Guards against a list of chunks, which took 150 bytes of heap for each.
test("a message in chunks of one byte costs at most twice its bytes", (t) => {
  const maxBytes = 1_048_576;
  const collector = new ByteCollector({ maxBytes });
  const read = Buffer.alloc(65_536, "x");
  const beforeBytes = usedBytes();
  for (let at = 0; at < maxBytes; at++) {
    collector.append(read.subarray(at % read.length, at % read.length + 1));
  }
  const costBytes = usedBytes() - beforeBytes;
  t.is(collector.length, maxBytes);
  t.true(costBytes <= 2 * maxBytes, `${costBytes}`);
});

test("chunks that come together are delivered as one, in order", async (t) => {
  const delivered: string[] = [];
  const batch = new ChunkBatch((bytes) => delivered.push(bytes.toString()));
  for (const text of ["a", "b", "c"]) batch.add(Buffer.from(text));
  t.deepEqual(delivered, []);
  await new Promise((resolve) => process.nextTick(resolve));
  t.deepEqual(delivered, ["abc"]);
  batch.add(Buffer.from("d"));
  batch.flush();
  t.deepEqual(delivered, ["abc", "d"]);
  await new Promise((resolve) => process.nextTick(resolve));
  t.deepEqual(delivered, ["abc", "d"], "nothing is delivered twice");
});
