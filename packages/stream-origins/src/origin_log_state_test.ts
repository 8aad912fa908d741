import type { SoftwareVersion } from "@endivebend/request-path";
import { brandId, type RequestId, type ServiceName } from "@endivebend/types";
import test from "ava";
import {
  decodeOriginRecord,
  encodeOriginRecord,
  OriginLogState,
  type OriginRecord,
  OriginTable,
  streamKey,
} from "./mod.ts";

const SERVICE = brandId<ServiceName>("engines");
const V1 = brandId<SoftwareVersion>("v1");
const V2 = brandId<SoftwareVersion>("v2");
const READ = { era: 1, nowMs: 1_000, untilMs: 10_000 };

function keyOf(id: string) {
  const requestId = brandId<RequestId>(id);
  return streamKey({ service: SERVICE, team: undefined, requestId });
}

function mixed(version: SoftwareVersion, ...ids: string[]): OriginRecord {
  return {
    era: 1,
    services: {
      [SERVICE]: {
        kind: "mixed",
        listed: [V1, V2],
        streams: { [version]: ids.map(keyOf) },
      },
    },
  };
}

function settled(version: SoftwareVersion, era = 1): OriginRecord {
  return { era, services: { [SERVICE]: { kind: "settled", version } } };
}

function createState() {
  const table = new OriginTable();
  return { table, state: new OriginLogState(table) };
}

test("records keep their form", (t) => {
  const record = mixed(V1, "q-1", "q-2");
  t.deepEqual(decodeOriginRecord(encodeOriginRecord(record)), record);
});

test("records of another form tell nothing", (t) => {
  const forms: unknown[] = [
    null,
    [],
    { era: "1", services: {} },
    { era: 1 },
    { era: 1, services: { engines: { kind: "settled" } } },
    { era: 1, services: { engines: { kind: "mixed", listed: [] } } },
    {
      era: 1,
      services: { engines: { kind: "mixed", listed: [1], streams: {} } },
    },
    {
      era: 1,
      services: {
        engines: { kind: "mixed", listed: [], streams: { v1: [1] } },
      },
    },
    { era: 1, services: { engines: { kind: "other" } } },
  ];
  for (const form of forms) {
    t.is(decodeOriginRecord(Buffer.from(JSON.stringify(form))), undefined);
  }
  t.is(decodeOriginRecord(Buffer.from("{")), undefined);
});

test("the newest record of a service holds", (t) => {
  const { state } = createState();
  t.is(state.stateOf(SERVICE), undefined);
  state.apply(settled(V1), READ);
  t.deepEqual(state.stateOf(SERVICE), { kind: "settled", version: V1 });
  state.apply(mixed(V2), READ);
  t.is(state.stateOf(SERVICE)?.kind, "mixed");
  state.apply(undefined, READ);
  t.is(state.stateOf(SERVICE)?.kind, "mixed");
  state.apply(settled(V2), READ);
  t.deepEqual(state.stateOf(SERVICE), { kind: "settled", version: V2 });
});

test("a settled record from before a restore does not hold", (t) => {
  const { state } = createState();
  state.apply(settled(V1, 1), { ...READ, era: 2 });
  t.is(state.stateOf(SERVICE)?.kind, "mixed");
});

test("streams of the records are known until they end", (t) => {
  const { state, table } = createState();
  state.apply(mixed(V2, "q-1"), READ);
  t.deepEqual(table.find(keyOf("q-1"), 10_000), {
    kind: "version",
    version: V2,
  });
  t.is(table.find(keyOf("q-2"), 2_000), undefined);
  t.is(table.find(keyOf("q-1"), 10_001), undefined);
  table.prune(10_001);
  t.is(table.size, 0);
});

test("a stream that two versions are said to have begun is unknown", (t) => {
  const { state, table } = createState();
  state.apply(mixed(V1, "q-1"), READ);
  state.apply(mixed(V1, "q-1"), READ);
  t.is(table.find(keyOf("q-1"), 2_000)?.kind, "version");
  state.apply(mixed(V2, "q-1"), READ);
  state.apply(mixed(V1, "q-1"), READ);
  t.is(table.find(keyOf("q-1"), 2_000)?.kind, "unknown");
});

test("a stream of which a daemon takes its version back is unknown", (t) => {
  const { state, table } = createState();
  state.apply(mixed(V1, "q-1"), READ);
  state.apply(mixed("" as SoftwareVersion, "q-1"), READ);
  t.is(table.find(keyOf("q-1"), 2_000)?.kind, "unknown");
});

test("teams and services share no keys", (t) => {
  const requestId = brandId<RequestId>("q-1");
  const service = SERVICE;
  const keys = [
    streamKey({ service, team: undefined, requestId }),
    streamKey({ service, team: "t" as never, requestId }),
    streamKey({ service: "t" as never, team: undefined, requestId }),
    streamKey({ service, team: undefined, requestId: "q-2" as never }),
  ];
  t.is(new Set(keys).size, 4);
  t.true(keys.every((key) => key.length === 11));
});
