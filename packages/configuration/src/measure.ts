/**
 * Measures the time to apply a change and the memory per team, for
 * docs/CAPACITY.md. A command-line tool, not part of the package's API.
 *
 *     node --expose-gc --import=tsx packages/configuration/src/measure.ts 29000
 *
 * @module
 */

import { createHash } from "node:crypto";
import { brandId, type Sha256Digest } from "@endivebend/types";
import {
  applyRecord,
  checkKey,
  type ConfigurationState,
  createConfigurationState,
  createSnapshotParts,
  keyIdOf,
  restoreState,
  serializeState,
} from "./mod.ts";
import { makeBody, makeRecord } from "./test_support.ts";

const KEYS_PER_TEAM = 2;
const TEMPLATE_COUNT = 10;
const WITHDRAWAL_COUNT = 20_000;
const KEY_CHECK_COUNT = 100_000;
const MICROSECONDS_PER_MS = 1000;
const NANOSECONDS_PER_MS = 1_000_000;

function digestOf(text: string) {
  const hex = createHash("sha256").update(text).digest("hex");
  return brandId<Sha256Digest>(hex);
}

function heapBytes(): number {
  globalThis.gc?.();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Applies the values and returns the mean microseconds per record. */
function applyValues(
  state: ConfigurationState,
  values: Iterable<unknown>,
): number {
  let count = 0;
  const startMs = performance.now();
  for (const value of values) {
    // Records arrive as JSON text, so they share no objects in memory.
    const parsedValue = JSON.parse(JSON.stringify(value));
    const result = applyRecord(
      state,
      makeRecord(state.appliedOffset + 1, parsedValue),
    );
    if (result.kind !== "accepted") throw new Error(JSON.stringify(result));
    count += 1;
  }
  return ((performance.now() - startMs) * MICROSECONDS_PER_MS) / count;
}

function* makeTemplates() {
  for (let index = 0; index < TEMPLATE_COUNT; index++) {
    const kind = "template_published";
    const template = `template-${index}`;
    yield { recordId: template, kind, template, body: makeBody() };
  }
}

function* makeTeams(teams: number) {
  for (let index = 0; index < teams; index++) {
    const team = `team-${index}`;
    const template = `template-${index % TEMPLATE_COUNT}`;
    const parameters = { tokenRatePerSecond: 500 };
    const kind = "team_created";
    yield { recordId: team, kind, team, template, parameters };
    for (let key = 0; key < KEYS_PER_TEAM; key++) {
      const recordId = `${team}-key-${key}`;
      yield { recordId, kind: "key_granted", team, digest: digestOf(recordId) };
    }
  }
}

function* makeRotations(teams: number) {
  for (let index = 0; index < WITHDRAWAL_COUNT; index++) {
    const team = `team-${index % teams}`;
    const secret = `rotated-${index}`;
    const digest = digestOf(secret);
    yield { recordId: secret, kind: "key_granted", team, digest };
    const recordId = `withdraw-${index}`;
    yield { recordId, kind: "key_withdrawn", keyId: keyIdOf(digest) };
  }
}

function timeMs(action: () => unknown): number {
  const startMs = performance.now();
  action();
  return performance.now() - startMs;
}

/** Returns the mean nanoseconds to look up a valid key. */
function timeKeyChecks(state: ConfigurationState, teams: number): number {
  const digests = Array.from(
    { length: KEY_CHECK_COUNT },
    (_, index) => digestOf(`team-${index % teams}-key-0`),
  );
  const totalMs = timeMs(() => {
    for (const digest of digests) checkKey(state, digest);
  });
  return (totalMs * NANOSECONDS_PER_MS) / KEY_CHECK_COUNT;
}

function measure(teams: number) {
  const state = createConfigurationState();
  applyValues(state, makeTemplates());
  const emptyBytes = heapBytes();
  const teamMicroseconds = applyValues(state, makeTeams(teams));
  const filledBytes = heapBytes();
  const rotationMicroseconds = applyValues(state, makeRotations(teams));
  const rotatedBytes = heapBytes();
  const amendment = {
    recordId: "amendment",
    kind: "template_amended",
    template: "template-0",
    amendsRevision: 1,
    body: makeBody(),
  };
  const amendMs = timeMs(() => applyValues(state, [amendment]));
  const json = serializeState(state);
  const parts = createSnapshotParts(state, { snapshotId: "measured" });
  const restored = createConfigurationState();
  const offset = state.appliedOffset;
  return {
    teams,
    keysPerTeam: KEYS_PER_TEAM,
    microsecondsPerChange: teamMicroseconds,
    microsecondsPerKeyRotationRecord: rotationMicroseconds,
    bytesPerTeamWithKeys: (filledBytes - emptyBytes) / teams,
    bytesPerWithdrawnKey: (rotatedBytes - filledBytes) / WITHDRAWAL_COUNT,
    nanosecondsPerKeyCheck: timeKeyChecks(state, teams),
    amendMs,
    snapshotBytes: json.length,
    snapshotParts: parts.length,
    snapshotMs: timeMs(() =>
      createSnapshotParts(state, { snapshotId: "measured" })
    ),
    restoreMs: timeMs(() => restoreState(restored, { json, offset })),
  };
}

console.log(
  JSON.stringify(measure(Number(process.argv[2] ?? 29_000)), null, 2),
);
