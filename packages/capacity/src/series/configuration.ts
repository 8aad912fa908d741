/**
 * The fold of the configuration.
 *
 * @module
 */

import { createHash } from "node:crypto";
import {
  applyRecord,
  checkKey,
  type ConfigurationState,
  createConfigurationState,
  createSnapshotParts,
  restoreState,
  serializeState,
} from "@endivebend/configuration";
import { brandId, type LogOffset, type Sha256Digest } from "@endivebend/types";
import { heapSeries, type Series, sizeSeries, timeSeries } from "../measure.ts";
import { teamId } from "../samples.ts";

const TEAMS = [7_250, 14_500, 29_000];
const KEYS_PER_TEAM = 2;

function digestOf(text: string): Sha256Digest {
  const hex = createHash("sha256").update(text).digest("hex");
  return brandId<Sha256Digest>(hex);
}

const TEMPLATE = {
  recordId: "operators/change/template-1",
  kind: "template_published",
  template: "standard",
  body: {
    parameters: {
      tokenRatePerSecond: { default: 100, maximum: 100_000 },
      burstTokens: { default: 500_000 },
    },
    services: ["model-3", "bookings"],
    routes: [{
      path: "/bookings",
      methods: ["GET"],
      service: "bookings",
      repeatable: true,
      open: true,
    }],
    models: ["model-3"],
  },
};

function teamRecord(index: number) {
  return {
    recordId: `entry-0117/7c0e1f2a-change-${index}`,
    kind: "team_created",
    team: teamId(index),
    template: "standard",
    parameters: { tokenRatePerSecond: 500 },
  };
}

function keyRecord(team: number, key: number) {
  return {
    recordId: `entry-0117/7c0e1f2a-key-${team}-${key}`,
    kind: "key_granted",
    team: teamId(team),
    digest: digestOf(`${team}/${key}`),
  };
}

function* fill(teams: number, keysPerTeam: number) {
  for (let team = 0; team < teams; team++) {
    yield teamRecord(team);
    for (let key = 0; key < keysPerTeam; key++) yield keyRecord(team, key);
  }
}

function fold(state: ConfigurationState, values: Iterable<unknown>): void {
  for (const value of values) {
    const offset = brandId<LogOffset>(state.appliedOffset + 1);
    // A record arrives as JSON text, so that nothing of it is shared.
    const read = JSON.parse(JSON.stringify(value));
    const result = applyRecord(state, {
      offset,
      appendedAtMs: offset,
      value: read,
    });
    if (result.kind !== "accepted") throw new Error(JSON.stringify(result));
  }
}

function stateWith(teams: number, keysPerTeam = KEYS_PER_TEAM) {
  const state = createConfigurationState();
  fold(state, [TEMPLATE]);
  fold(state, fill(teams, keysPerTeam));
  return state;
}

let fullState: ConfigurationState | undefined;
let nextKey = 1_000_000;

/** Grants keys in a state of the two-year size, kept for all runs. */
function grantKeys(count: number) {
  const state = fullState ??= stateWith(29_000);
  const firstKey = nextKey;
  nextKey += count;
  const records = Array.from(
    { length: count },
    (_, index) => keyRecord(index, firstKey + index),
  );
  return () => fold(state, records);
}

function checkKeys(count: number) {
  const state = fullState ??= stateWith(29_000);
  const digests = Array.from(
    { length: count },
    (_, index) => digestOf(`${index % 29_000}/0`),
  );
  return () => {
    for (const digest of digests) checkKey(state, digest);
  };
}

/** The series of this module. */
export const configurationSeries: readonly Series[] = [
  heapSeries({
    name: "configuration.team_bytes",
    per: "team with two keys",
    sizes: TEAMS,
    make: (size) => stateWith(size),
  }),
  heapSeries({
    name: "configuration.key_bytes",
    per: "key",
    sizes: [5_000, 10_000, 20_000],
    make: (size) => stateWith(1_000, size / 1_000),
  }),
  timeSeries({
    name: "configuration.change_us",
    per: "change",
    sizes: [2_000, 4_000, 8_000],
    prepare: grantKeys,
  }),
  timeSeries({
    name: "configuration.check_key_us",
    per: "check",
    sizes: [10_000, 20_000, 40_000],
    prepare: checkKeys,
  }),
  sizeSeries({
    name: "configuration.record_bytes",
    per: "change",
    sizes: [1, 10, 100],
    encode: (size) =>
      JSON.stringify(
        Array.from({ length: size }, (_, index) => ({
          offset: 15_330_000 + index,
          appendedAtMs: 1_796_000_000_000,
          value: keyRecord(index, 0),
        })),
      ),
  }),
  sizeSeries({
    name: "configuration.snapshot_bytes",
    per: "team with two keys",
    sizes: TEAMS,
    encode: (size) => serializeState(stateWith(size)),
  }),
  timeSeries({
    name: "configuration.snapshot_us",
    per: "team with two keys",
    sizes: TEAMS,
    repeatable: true,
    prepare: (size) => {
      const state = stateWith(size);
      return () => createSnapshotParts(state, { snapshotId: "measured" });
    },
  }),
  timeSeries({
    name: "configuration.restore_us",
    per: "team with two keys",
    sizes: TEAMS,
    prepare: (size) => {
      const state = stateWith(size);
      const json = serializeState(state);
      const offset = brandId<LogOffset>(state.appliedOffset);
      const fresh = createConfigurationState();
      return () => restoreState(fresh, { json, offset });
    },
  }),
];
