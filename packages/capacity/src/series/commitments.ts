/**
 * Intents and outcomes of calls that run at most once.
 *
 * @module
 */

import {
  CommitmentState,
  digestCall,
  digestKey,
} from "@endivebend/commitments";
import { brandId, type LogOffset, type LogRecord } from "@endivebend/types";
import { heapSeries, type Series, sizeSeries, timeSeries } from "../measure.ts";
import { entryVmId, incarnationAt, teamId } from "../samples.ts";

const RETENTION_MS = 86_400_000;
const ANSWER = JSON.stringify({
  id: "booking-01J9Z5W3M2K8",
  tower: "st-mary",
  bell: "tenor",
  startsAt: "2028-11-14T10:30:00Z",
  state: "confirmed",
});

function writerFields(call: number) {
  const vm = call % 410;
  return {
    keyDigest: digestKey(teamId(call % 29_000), `1796000000-${call}`),
    bodyDigest: digestCall({
      method: "POST",
      path: "/bookings",
      body: Buffer.from(`{"booking":${call}}`),
    }),
    vmId: entryVmId(vm),
    incarnation: incarnationAt(vm),
  };
}

/** Both records of a call, as the router writes them. */
function recordsOf(call: number) {
  const fields = writerFields(call);
  const prefix = `${fields.vmId}/${fields.incarnation}`;
  const intentId = `${prefix}/intent/${call}`;
  const intent = {
    ...fields,
    recordId: intentId,
    kind: "intent",
    team: teamId(call % 29_000),
    route: "/bookings",
    attempt: 1,
  };
  const outcome = {
    ...fields,
    recordId: `${prefix}/outcome/${call}`,
    kind: "outcome",
    intentId,
    outcome: {
      result: "answered",
      status: 201,
      headers: { "content-type": "application/json" },
      bodyBase64: Buffer.from(ANSWER).toString("base64"),
    },
  };
  return [intent, outcome];
}

function logOf(calls: number): LogRecord[] {
  return Array.from({ length: calls }, (_, call) => recordsOf(call))
    .flat()
    .map((value, offset) => ({
      offset: brandId<LogOffset>(offset),
      appendedAtMs: 1_796_000_000_000 + offset,
      value,
    }));
}

function foldAll(records: readonly LogRecord[]): CommitmentState {
  const state = new CommitmentState({
    retentionMs: RETENTION_MS,
    maxKeys: 100_000,
    maxAnswersBytes: 32 << 20,
  });
  for (const record of records) state.apply(record);
  return state;
}

/** The series of this module. */
export const commitmentSeries: readonly Series[] = [
  sizeSeries({
    name: "commitments.call_bytes",
    per: "call (intent and outcome)",
    sizes: [1, 10, 100],
    encode: (size) => JSON.stringify(logOf(size)),
  }),
  sizeSeries({
    name: "commitments.intent_bytes",
    per: "intent",
    sizes: [1, 10, 100],
    encode: (size) =>
      JSON.stringify(logOf(size).filter((_, index) => index % 2 === 0)),
  }),
  timeSeries({
    name: "commitments.fold_us",
    per: "call (intent and outcome)",
    sizes: [2_500, 5_000, 10_000],
    prepare: (size) => {
      const records = logOf(size);
      return () => foldAll(records);
    },
  }),
  timeSeries({
    name: "commitments.parse_us",
    per: "call (intent and outcome)",
    sizes: [10, 100, 1_000],
    repeatable: true,
    prepare: (size) => {
      const text = JSON.stringify(logOf(size));
      return () => JSON.parse(text);
    },
  }),
  heapSeries({
    name: "commitments.key_bytes",
    per: "call (intent and outcome)",
    sizes: [5_000, 10_000, 20_000],
    make: (size) => foldAll(JSON.parse(JSON.stringify(logOf(size)))),
  }),
  heapSeries({
    name: "recent_records.record_bytes",
    per: "kept record",
    sizes: [2_048, 4_096, 8_192],
    make: (size) => JSON.parse(JSON.stringify(logOf(size / 2))),
  }),
];
