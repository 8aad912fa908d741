import type { SoftwareVersion } from "@endivebend/request-path";
import { logPosition } from "@endivebend/fleet";
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

/** A record that is read at the offset, in the store's era. */
function at(offset: number, era = 1) {
  const position = logPosition(era, offset);
  return { position, nowMs: 1_000, untilMs: 10_000 };
}

function keyOf(id: string) {
  const requestId = brandId<RequestId>(id);
  return streamKey({ service: SERVICE, team: undefined, requestId });
}

function mixed(version: SoftwareVersion, ...ids: string[]): OriginRecord {
  return {
    services: {
      [SERVICE]: {
        kind: "mixed",
        listed: [V1, V2],
        streams: { [version]: ids.map(keyOf) },
      },
    },
  };
}

function settled(version: SoftwareVersion, readTo: number): OriginRecord {
  return {
    services: {
      [SERVICE]: { kind: "settled", version, readTo: logPosition(1, readTo) },
    },
  };
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
  const origins: unknown[] = [
    { kind: "settled" },
    { kind: "settled", version: "v1" },
    { kind: "settled", version: "v1", readTo: "1" },
    { kind: "mixed", listed: [] },
    { kind: "mixed", listed: [1], streams: {} },
    { kind: "mixed", listed: [], streams: { v1: [1] } },
    { kind: "other" },
    null,
  ];
  const forms = origins.map((engines) => ({ services: { engines } }));
  for (const form of [null, [], { services: [] }, {}, ...forms]) {
    t.is(decodeOriginRecord(Buffer.from(JSON.stringify(form))), undefined);
  }
  t.is(decodeOriginRecord(Buffer.from("{")), undefined);
});

test("the newest record of a service holds", (t) => {
  const { state } = createState();
  t.is(state.stateOf(SERVICE), undefined);
  state.apply(settled(V1, 0), at(0));
  t.deepEqual(state.stateOf(SERVICE), { kind: "settled", version: V1 });
  state.apply(mixed(V2), at(1));
  t.is(state.stateOf(SERVICE)?.kind, "mixed");
  state.apply(undefined, at(2));
  t.is(state.stateOf(SERVICE)?.kind, "mixed");
  state.apply(settled(V2, 3), at(3));
  t.deepEqual(state.stateOf(SERVICE), { kind: "settled", version: V2 });
});

test("a settled record does not overtake one that its writer had not read", (t) => {
  const { state } = createState();
  state.apply(mixed(V1), at(0));
  state.apply(mixed(V2), at(1));
  state.apply(settled(V1, 1), at(2));
  t.is(state.stateOf(SERVICE)?.kind, "mixed");
  state.apply(settled(V1, 2), at(3));
  t.deepEqual(state.stateOf(SERVICE), { kind: "settled", version: V1 });
});

test("a settled record from before a restore does not hold", (t) => {
  const { state } = createState();
  state.apply(settled(V1, 0), at(0, 2));
  t.is(state.stateOf(SERVICE)?.kind, "mixed");
});

test("streams of the records are known until they end", (t) => {
  const { state, table } = createState();
  state.apply(mixed(V2, "q-1"), at(1));
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
  state.apply(mixed(V1, "q-1"), at(2));
  state.apply(mixed(V1, "q-1"), at(3));
  t.is(table.find(keyOf("q-1"), 2_000)?.kind, "version");
  state.apply(mixed(V2, "q-1"), at(4));
  state.apply(mixed(V1, "q-1"), at(5));
  t.is(table.find(keyOf("q-1"), 2_000)?.kind, "unknown");
});

test("a stream of which a daemon takes its version back is unknown", (t) => {
  const { state, table } = createState();
  state.apply(mixed(V1, "q-1"), at(6));
  state.apply(mixed("" as SoftwareVersion, "q-1"), at(7));
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
