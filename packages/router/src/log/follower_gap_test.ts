import test from "ava";
import { brandId, type LogOffset, type LogRecord } from "@endivebend/types";
import type { Logger } from "../ports.ts";
import { LogFollower } from "./follower.ts";
import type { LogClient, ReadAnswer } from "./log_client.ts";

const silentLogger: Logger = {
  info: () => {},
  warn: () => {},
  error: () => {},
};

function makeRecord(offset: number): LogRecord {
  const value = { recordId: `r-${offset}` };
  return { offset: brandId<LogOffset>(offset), appendedAtMs: 0, value };
}

/** Creates a log client that answers reads with the given answers, in order. */
function createScriptedLog(
  answers: readonly ReadAnswer[],
  onEnd: () => void,
): LogClient {
  const remaining = [...answers];
  return {
    append: () => Promise.resolve({ kind: "lost", reason: "not used" }),
    read() {
      const answer = remaining.shift();
      if (answer !== undefined) return Promise.resolve(answer);
      onEnd();
      return Promise.resolve({
        kind: "records",
        records: [],
        firstOffset: 0,
        nextOffset: 12,
      });
    },
  };
}

// Guards against sending a peer the records before and after a gap as if they
// were consecutive: the peer would apply the later records to a state that
// lacks those in between.
test("records before a gap are not sent to peers together with later ones", async (t) => {
  const gaps: number[] = [];
  const follower: LogFollower = new LogFollower({
    stream: "configuration",
    fold: { apply: () => {}, onGap: (offset) => gaps.push(offset) },
    log: createScriptedLog([
      {
        kind: "records",
        records: [0, 1, 2].map(makeRecord),
        firstOffset: 0,
        nextOffset: 3,
      },
      { kind: "truncated", firstOffset: 10 },
      {
        kind: "records",
        records: [10, 11].map(makeRecord),
        firstOffset: 0,
        nextOffset: 12,
      },
    ], () => follower.stop()),
    peers: { fetch: () => Promise.resolve(undefined) },
    clock: { wallMs: () => 0, elapsedMs: () => 0 },
    scheduler: { after: () => () => {} },
    logger: silentLogger,
    pollWaitMs: 0,
  });
  await follower.start();
  t.deepEqual(gaps, [10]);
  t.is(follower.recordsFrom(1, 100), undefined);
  const recordsAfterGap = follower.recordsFrom(10, 100) ?? [];
  t.deepEqual(recordsAfterGap.map(({ offset }) => Number(offset)), [10, 11]);
});
