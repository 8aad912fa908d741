import type { RouteName } from "@endivebend/request-path";
import { type BackendServerId, brandId } from "@endivebend/types";
import test from "ava";
import { AnswerWatch, type OtherPace } from "./answer_watch.ts";

const ROUTE = brandId<RouteName>("a");
const USUAL: OtherPace = { mean: 2, isFresh: true };

function attempt(isNew: boolean, tokensToRead = 0) {
  const server = brandId<BackendServerId>("i-1");
  return { route: ROUTE, server, isNew, tokensToRead, sentAtMs: 0 };
}

function countsOf(watch: AnswerWatch) {
  return watch.counts().routes[ROUTE];
}

function slowOf(watch: AnswerWatch) {
  const server = brandId<BackendServerId>("i-1");
  return watch.counts().doubtful?.[server]?.[ROUTE]?.[1];
}

test("an answer counts once, as the first of what shows it bad", (t) => {
  const watch = new AnswerWatch(() => USUAL);
  const [slow, failed, good] = [{}, {}, {}];
  watch.sent(slow, attempt(true));
  watch.sent(failed, attempt(true));
  watch.sent(good, attempt(true));
  watch.began(slow, 400);
  watch.failed(slow);
  watch.began(failed, 90);
  watch.failed(failed);
  watch.answered(good, 120);
  t.deepEqual(countsOf(watch), [2, 1, 3, 0, 0, 0, 0, 0]);
  t.is(slowOf(watch), 1);
});

test("an answer that is still open counts as soon as it is late", (t) => {
  // Guards against a slower version that everything moves to before it answers.
  const watch = new AnswerWatch(() => USUAL);
  watch.sent({}, attempt(true));
  watch.check(299);
  t.deepEqual(countsOf(watch), [0, 0, 0, 0, 0, 0, 0, 0]);
  watch.check(300);
  watch.check(400);
  t.is(slowOf(watch), 1);
  t.deepEqual(countsOf(watch), [0, 0, 0, 0, 0, 0, 0, 0]);
});

test("a server that has to read more may take longer", (t) => {
  // Guards against a fault that is only an empty prefix cache.
  const watch = new AnswerWatch(() => USUAL);
  const key = {};
  watch.sent(key, attempt(true, 9_190));
  watch.answered(key, 1_000);
  t.deepEqual(countsOf(watch), [1, 0, 1, 0, 0, 0, 0, 0]);
});

test("the others' times count as a multiple of what is expected", (t) => {
  const watch = new AnswerWatch(() => undefined);
  const key = {};
  watch.sent(key, attempt(false));
  watch.answered(key, 100);
  t.deepEqual(countsOf(watch), [0, 0, 0, 1, 0, 0, 1, 200]);
});

test("short calls vary by some milliseconds on any version", (t) => {
  const watch = new AnswerWatch(() => ({ mean: 0.1, isFresh: true }));
  const key = {};
  watch.sent(key, attempt(true));
  watch.answered(key, 30);
  t.deepEqual(countsOf(watch), [1, 0, 1, 0, 0, 0, 0, 0]);
});

test("without a present pace only much slower answers count", (t) => {
  const watch = new AnswerWatch(() => ({ mean: 2, isFresh: false }));
  const [first, second] = [{}, {}];
  watch.sent(first, attempt(true));
  watch.sent(second, attempt(true));
  watch.answered(first, 390);
  watch.answered(second, 410);
  t.is(slowOf(watch), 1);
  t.deepEqual(countsOf(watch), [1, 0, 2, 0, 0, 0, 0, 0]);
});

test("a lost connection to a new server is told with the server", (t) => {
  const watch = new AnswerWatch(() => USUAL);
  const [fresh, old, left] = [{}, {}, {}];
  watch.sent(fresh, attempt(true));
  watch.sent(old, attempt(false));
  watch.sent(left, attempt(true));
  watch.lost(fresh);
  watch.lost(old);
  watch.dropped(left);
  t.deepEqual(countsOf(watch), [0, 0, 1, 1, 1, 0, 0, 0]);
  t.deepEqual(JSON.stringify(watch.counts().doubtful), '{"i-1":{"a":[1,0]}}');
  t.is(watch.bad, 1);
});

test("a stream counts once it has begun, and as a failure when it breaks off", (t) => {
  // Guards against slow answers that are counted seconds before the good ones.
  const watch = new AnswerWatch(() => USUAL);
  const [good, broken, old] = [{}, {}, {}];
  watch.sent(good, attempt(true));
  watch.sent(broken, attempt(true));
  watch.sent(old, attempt(false));
  for (const key of [good, broken, old]) watch.began(key, 100);
  t.deepEqual(countsOf(watch), [2, 0, 0, 1, 0, 0, 1, 200]);
  watch.failed(broken);
  watch.failed(old);
  watch.answered(good, 3_000);
  t.deepEqual(countsOf(watch), [2, 1, 2, 1, 1, 0, 1, 200]);
});

test("after a pause of the process nothing that was open counts as late", (t) => {
  const watch = new AnswerWatch(() => USUAL);
  const key = {};
  watch.sent(key, attempt(true));
  watch.notePause();
  watch.check(9_000);
  watch.answered(key, 9_000);
  t.deepEqual(countsOf(watch), [0, 0, 0, 0, 0, 0, 0, 0]);
  t.is(slowOf(watch), undefined);
});
