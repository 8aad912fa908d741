import test from "ava";
import { encodeDatagram, parseDatagram } from "@endivebend/fleet";
import { brandId } from "@endivebend/types";
import { parsePrompt } from "./prompt_header.ts";

/** Whether a peer accepts a message that names the segment. */
function isAccepted(segment: string): boolean {
  const message = {
    vm: brandId("vm-1"),
    incarnation: brandId("first"),
    failureDomain: brandId("a"),
    address: "10.0.0.1:7600",
    sequence: 1,
    isLeaving: false,
    reachesStore: true,
    duty: { epoch: 0 },
    spent: {},
    work: {},
    weights: [],
    named: {},
    suspects: [],
    placed: { "e-1": [`12/${"t".repeat(64)}|${segment}`] },
    kept: {},
    answerAgesMs: {},
    records: {},
    readAgesMs: {},
  } as const;
  const bytes = encodeDatagram({ kind: "message", message } as never);
  return parseDatagram(bytes) !== undefined;
}

test("a segment with a long id does not make peers refuse what its daemon tells", (t) => {
  const longId = "ab".repeat(1_000);
  t.false(isAccepted(longId));
  const [segment] = parsePrompt(`${longId}:600,c1:300`);
  t.true(isAccepted(segment!.id));
  t.is(segment!.tokens, 600);
});

test("long ids that differ stay different, and short ones stay as they are", (t) => {
  const longId = "ab".repeat(1_000);
  const ids = parsePrompt(`${longId}c:1,${longId}d:1,5c1e07a2:800`)
    .map(({ id }) => String(id));
  t.is(new Set(ids).size, 3);
  t.is(ids[2], "5c1e07a2");
  t.is(parsePrompt(`${longId}c:1`)[0]?.id, ids[0] as never);
});

test("a prompt without segments or with a broken entry is parsed", (t) => {
  t.deepEqual(parsePrompt(undefined), []);
  t.deepEqual(parsePrompt(""), []);
  t.like(parsePrompt("a:x, b"), [{ id: "a", tokens: 0 }, { id: "b" }]);
});

// Guards against headers with thousands of segments, each of which is looked up.
test("segments beyond the limit count with the last one", (t) => {
  const header = Array.from({ length: 3_000 }, (_, index) => `s${index}:2`);
  const prompt = parsePrompt(header.join(","));
  t.is(prompt.length, 256);
  t.deepEqual(
    [prompt[254], prompt[255]],
    [{ id: "s254", tokens: 2 }, { id: "s2999", tokens: 5_490 }] as never,
  );
  const sum = prompt.reduce((tokens, segment) => tokens + segment.tokens, 0);
  t.is(sum, 6_000);
});
