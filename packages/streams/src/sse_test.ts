import test from "ava";
import fc from "fast-check";
import { SseParser } from "./mod.ts";

const seed = Number(process.env["SEED"] ?? 20260701);

function parseAll(chunks: readonly Uint8Array[]): string[] {
  const parser = new SseParser({ maxEventBytes: 4096 });
  return chunks.flatMap((chunk) => parser.push(chunk)).map((e) => e.data);
}

test("chunk boundaries do not change the events, even inside a character", (t) => {
  t.log(`seed ${seed}`);
  fc.assert(
    fc.property(
      fc.array(fc.string({ unit: "grapheme", maxLength: 12 }), {
        maxLength: 8,
      }),
      fc.constantFrom("\n", "\r\n", "\r"),
      fc.array(fc.nat(400), { maxLength: 20 }),
      (texts, lineEnd, cuts) => {
        const data = texts.map((text) => JSON.stringify(text));
        const bytes = Buffer.from(
          data.map((d) => `: note${lineEnd}data: ${d}${lineEnd}${lineEnd}`)
            .join(""),
        );
        const edges = [0, ...cuts.sort((a, b) => a - b), bytes.length];
        const chunks = edges.slice(1).map((edge, i) =>
          bytes.subarray(edges[i], edge)
        );
        t.deepEqual(parseAll(chunks), data);
      },
    ),
    { seed, numRuns: 500 },
  );
});

test("data lines are joined into one event, separate from other fields", (t) => {
  const parser = new SseParser({ maxEventBytes: 4096 });
  const events = parser.push(
    Buffer.from("\ufeffevent: error\nid: 7\ndata:a\ndata: b\nretry: 1\n\n"),
  );
  t.deepEqual(events, [{ type: "error", data: "a\nb", id: "7" }]);
  t.false(parser.hasPartialEvent);
});

test("an event that never ends is refused at the size limit", (t) => {
  const parser = new SseParser({ maxEventBytes: 100 });
  parser.push(Buffer.from(`data: ${"x".repeat(60)}\n`));
  t.throws(() => parser.push(Buffer.from(`data: ${"x".repeat(60)}`)), {
    message: /exceeds 100 bytes/,
  });
});
