import test from "ava";
import { MemoryBudget } from "@endivebend/byte-buffers";
import { type UnreadAnswer, UnreadAnswers } from "./unread_answers.ts";

const LIMIT_BYTES = 10_000_000;
const ANSWER_BYTES = 300_000;

function start() {
  const budget = new MemoryBudget(LIMIT_BYTES);
  const unread = new UnreadAnswers(budget);
  const cutOff: string[] = [];
  const answer = (name: string): UnreadAnswer => ({
    writableLength: ANSWER_BYTES,
    cutOff: () => void cutOff.push(name),
  });
  return { budget, unread, cutOff, answer };
}

// Guards against answers that nobody reads and that are each within a limit.
test("unread answers hold half of the limit, the oldest give way", (t) => {
  const { unread, cutOff, answer } = start();
  for (let number = 0; number < 100; number++) {
    unread.note(answer(`a${number}`), number);
  }
  t.true(unread.bytes <= LIMIT_BYTES / 2);
  t.true(unread.bytes >= LIMIT_BYTES / 4);
  t.is(cutOff[0], "a0");
  t.is(new Set(cutOff).size, cutOff.length);
  t.false(cutOff.includes("a99"));
});

// Guards against cutting off clients that read as fast as their link allows.
test("answers that are read in time are never cut off", (t) => {
  const { unread, cutOff, answer } = start();
  for (let number = 0; number < 1_000; number++) {
    const read = answer(`a${number}`);
    unread.note(read, number);
    unread.forget(read);
  }
  t.is(unread.bytes, 0);
  t.deepEqual(cutOff, []);
});

test("answers that were unread for a second give way to messages", (t) => {
  const { budget, unread, cutOff, answer } = start();
  unread.note(answer("early"), 0);
  t.true(budget.tryTake("answer", LIMIT_BYTES - ANSWER_BYTES));
  unread.note(answer("young"), 999);
  t.deepEqual(cutOff, []);
  unread.note(answer("late"), 1_000);
  t.deepEqual(cutOff, ["early"]);
});

test("an answer whose bytes grow is counted once", (t) => {
  const { unread, answer } = start();
  const growing = { ...answer("a"), writableLength: 1_000 };
  unread.note(growing, 0);
  const atFirst = unread.bytes;
  growing.writableLength = 2_000;
  unread.note(growing, 1);
  t.is(unread.bytes - atFirst, 1_000);
});
