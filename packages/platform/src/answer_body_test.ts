import test from "ava";
import fc from "fast-check";
import { brandId, type RequestId } from "@endivebend/types";
import { AnswerBody } from "./answer_body.ts";
import { boundRequestId } from "./bounded_names.ts";

const seed = Number(process.env["ANSWER_BODY_SEED"] ?? 1);
const numRuns = Number(process.env["ANSWER_BODY_RUNS"] ?? 2_000);

function headOf(id: string): string {
  return `HTTP/1.1 200 OK\r\nServer-Load: 1,0,6\r\nAttempt-Id: ${id}\r\n` +
    "Response-Seal: s\r\n\r\n";
}

/** Kept as a digest. */
const LONG_ID = "z".repeat(15_000);

interface Passed {
  readonly body: AnswerBody;
  readonly text: string;
  /** False when the answer ends in what may be the beginning of a head. */
  readonly isKnown: boolean;
}

function pass(parts: readonly string[], isFramed = false): Passed {
  const body = new AnswerBody({
    requestId: brandId<RequestId>("own"),
    earlier: ["before", "last", LONG_ID].map((id) =>
      boundRequestId(brandId<RequestId>(id))
    ),
    isFramed,
  });
  let text = "";
  for (const part of parts) text += body.push(Buffer.from(part, "latin1"));
  const rest = body.end();
  return { body, text: text + (rest ?? ""), isKnown: rest !== undefined };
}

/** Cuts the text at the given places, counted modulo its length. */
function cutAt(text: string, places: readonly number[]): string[] {
  const ends = places.map((place) => place % (text.length + 1));
  const sorted = [0, ...ends, text.length].sort((a, b) => a - b);
  return sorted.slice(1).map((end, index) => text.slice(sorted[index], end));
}

/** Bodies that resemble heads in part; none holds a whole head of the answer. */
const bodyText = fc.array(
  fc.oneof(
    fc.string({ maxLength: 8 }),
    fc.constantFrom(
      "H",
      "HTTP/1.",
      "HTTP/1.1 200 OK",
      "HTTP/1.1 200 OK\r\n",
      "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n",
      "\nAttempt-Id: own\r\n",
      "\r\n",
      "\r\n\r\n",
      "id: 1\ndata: HTTP/1.1\n\n",
    ),
  ),
  { maxLength: 8 },
).map((parts) => parts.join(""));
const places = fc.array(fc.nat(), { maxLength: 6 });

test("a copy of the answer ends its body, however the bytes are cut", (t) => {
  t.log(`ANSWER_BODY_SEED=${seed}, ANSWER_BODY_RUNS=${numRuns}`);
  const property = fc.property(bodyText, places, (text, ends) => {
    // What stands before the copy must not begin a head that the copy goes on.
    const before = `${text}\n.`;
    const whole = before + headOf("own") + before;
    const passed = pass(cutAt(whole, ends));
    t.is(passed.text, before);
    t.is(passed.body.found, "own");
    t.false(passed.body.isCutOff);
  });
  fc.assert(property, { seed, numRuns, endOnFailure: true });
});

test("a body without a copy passes unchanged, however the bytes are cut", (t) => {
  t.log(`ANSWER_BODY_SEED=${seed}, ANSWER_BODY_RUNS=${numRuns}`);
  const property = fc.property(bodyText, places, (text, ends) => {
    const passed = pass(cutAt(`${text}\n.`, ends));
    t.is(passed.text, `${text}\n.`);
    t.is(passed.body.found, undefined);
    t.true(passed.isKnown);
  });
  fc.assert(property, { seed, numRuns, endOnFailure: true });
});

test("a copy that is cut off at any byte is no part of the body", (t) => {
  const head = headOf("own");
  const idEnd = head.indexOf("own\r\n") + 5;
  for (let length = "HTTP/1.1 200".length; length < head.length + 3; length++) {
    const { text, isKnown, body } = pass([
      "the answer",
      `${head}the`.slice(0, length),
    ]);
    t.is(text, "the answer", `${length} bytes of the copy`);
    t.is(isKnown, length >= idEnd, `${length} bytes of the copy`);
    t.is(body.found, length >= idEnd ? "own" : undefined);
    t.false(body.isCutOff);
  }
});

test("a copy that is longer than the body shows that the body was cut off", (t) => {
  const { body } = pass(["the ans", headOf("own"), "the answer"]);
  t.is(body.found, "own");
  t.true(body.isCutOff);
});

test("a copy within the length of an answer shows that it was cut off", (t) => {
  const { body, text } = pass(["the answer", headOf("own"), "the"], true);
  t.true(body.isCutOff);
  t.is(text, "the answer");
});

for (
  const [what, bytes, found] of [
    ["an earlier answer", headOf("before"), "earlier"],
    [
      "a refusal without an id",
      "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n\r\n",
      "earlier",
    ],
    [
      "an informational answer and the answer",
      `HTTP/1.1 103 Hints\r\nX: y\r\n\r\n${headOf("own")}`,
      "own",
    ],
    ["an answer to another caller", headOf("other"), undefined],
  ] as const
) {
  test(`the head of ${what} in a body is found as ${found}`, (t) => {
    for (let length = 0; length <= bytes.length; length++) {
      const parts = ["some ", bytes.slice(0, length), bytes.slice(length), "x"];
      const { body, text } = pass(parts);
      t.is(body.found, found);
      t.is(text, found === undefined ? parts.join("") : "some ");
    }
  });
}

test("a body that never completes a head is not held", (t) => {
  const line = `X: ${"y".repeat(1_000)}\r\n`;
  const parts = ["HTTP/1.1 200 OK\r\n", ...Array<string>(40).fill(line)];
  const { text, isKnown } = pass([...parts, "end\n"]);
  t.is(text, [...parts, "end\n"].join(""));
  t.true(isKnown);
});

// Guards against long ids that are kept as digests and then not found.
test("the head of an answer to an earlier request with a long id ends the body", (t) => {
  const { body, text } = pass(["the body", headOf(LONG_ID), "another body"]);
  t.is(body.found, "earlier");
  t.is(text, "the body");
});

test("a long id that is not that of an earlier request ends no body", (t) => {
  const other = headOf(`${LONG_ID}-`);
  t.is(pass(["the body", other]).text, `the body${other}`);
});
