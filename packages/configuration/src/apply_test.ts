import test from "ava";
import { brandId, type Sha256Digest, type TeamId } from "@endivebend/types";
import { checkKey, findOpenRoute, findTeamView, keyIdOf } from "./mod.ts";
import { applyValues, makeBody, makeDigest } from "./test_support.ts";

const digest = brandId<Sha256Digest>(makeDigest(1));
const team = brandId<TeamId>("st-mary");
const START = [
  {
    recordId: "a",
    kind: "template_published",
    template: "t",
    body: makeBody(),
  },
  { recordId: "b", kind: "team_created", team, template: "t" },
  { recordId: "c", kind: "key_granted", team, digest },
];

function amend(recordId: string, overrides: Readonly<Record<string, unknown>>) {
  const body = makeBody(overrides);
  const kind = "template_amended";
  return { recordId, kind, template: "t", amendsRevision: 1, body };
}

// Guards against two operators who are both told that their concurrent
// amendment was accepted.
test("the first of two amendments of one revision in the log is accepted", (t) => {
  const { state, results } = applyValues([
    ...START,
    amend("d", { models: ["chime-10"] }),
    amend("e", { models: ["chime-11"] }),
  ]);
  t.deepEqual(results[3], { kind: "accepted", revision: 2 });
  t.like(results[4], {
    kind: "refused",
    field: "amendsRevision",
    currentRevision: 2,
  });
  t.deepEqual(findTeamView(state, team)?.models as unknown, ["chime-10"]);
});

// Guards against an amendment that leaves some teams invalid.
test("an amendment that makes an existing team invalid is refused entirely", (t) => {
  const parameters = { tokenRatePerSecond: 900 };
  const { state, results } = applyValues([
    START[0],
    { ...START[1], parameters },
    amend("d", {
      models: [],
      parameters: {
        tokenRatePerSecond: { default: 100, maximum: 800 },
        burstTokens: { default: 500 },
      },
    }),
  ]);
  t.like(results[2], {
    kind: "refused",
    field: "body.parameters.tokenRatePerSecond",
    currentRevision: 1,
  });
  t.is(findTeamView(state, team)?.limits.rateTokensPerSecond, 900);
  t.is(findTeamView(state, team)?.models.length, 1);
});

// Guards against a team that still uses the defaults of an older revision.
test("teams use amended defaults, and the view is cached until an amendment", (t) => {
  const before = applyValues(START).state;
  t.is(findTeamView(before, team), findTeamView(before, team));
  const { state } = applyValues([
    ...START,
    amend("d", {
      parameters: {
        tokenRatePerSecond: { default: 7 },
        burstTokens: { default: 500 },
      },
    }),
  ]);
  t.is(findTeamView(state, team)?.limits.rateTokensPerSecond, 7);
});

// Guards against a late or repeated grant that makes a withdrawn key valid.
test("a withdrawn digest is never granted again, even after its team's removal", (t) => {
  const keyId = keyIdOf(digest);
  const withdrawn = applyValues([
    ...START,
    { recordId: "d", kind: "key_withdrawn", keyId },
    { recordId: "e", kind: "key_granted", team, digest },
  ]);
  t.like(withdrawn.results[4], { kind: "refused", field: "digest" });
  const removed = applyValues([
    ...START,
    { recordId: "d", kind: "team_removed", team },
    { ...START[1], recordId: "e" },
    { recordId: "f", kind: "key_granted", team, digest },
  ]);
  t.like(removed.results[5], { kind: "refused", field: "digest" });
  for (const { state } of [withdrawn, removed]) {
    const status = checkKey(state, digest);
    t.deepEqual(status, { kind: "refused", code: "key_withdrawn" });
  }
});

// Guards against an append that is retried after a lost response and takes
// effect twice.
test("a repeated record gets its first verdict and changes nothing", (t) => {
  const { state, results } = applyValues([
    ...START,
    { recordId: "d", kind: "team_removed", team },
    START[1],
  ]);
  t.deepEqual(results[4], results[1]);
  t.is(state.teams.size, 0);
});

// Guards against a daemon that crashes on a record it cannot parse.
test("malformed records are refused with a field name and never throw", (t) => {
  let deep: unknown = [];
  for (let depth = 0; depth < 20_000; depth++) deep = [deep];
  const { state, results } = applyValues([
    null,
    7,
    { recordId: "a" },
    { recordId: "b", kind: "constructor" },
    { recordId: "c", kind: "team_created", team: "x", template: "t", extra: 1 },
    { recordId: "d", kind: "template_published", template: "t", body: deep },
    { recordId: "e".repeat(1000), kind: "team_removed", team: "x" },
    { kind: "snapshot_part", index: 9 },
    amend("f", { routes: [{ path: "/a/../b" }] }),
  ]);
  t.deepEqual(
    results.map((result) => result.kind === "refused" ? result.field : ""),
    ["recordId", "recordId", "kind", "kind", "extra", "body", "recordId", ""]
      .concat("body.routes[0].path"),
  );
  t.is(state.teams.size, 0);
});

// Guards against two templates that route one open path to different services.
test("templates must agree on an open path", (t) => {
  const [route] = makeBody().routes;
  const routes = [{ ...route, service: "chime-llm" }];
  const body = makeBody({ routes });
  const { results } = applyValues([
    START[0],
    { recordId: "b", kind: "template_published", template: "u", body },
  ]);
  t.like(results[1], { kind: "refused", field: "body.routes[0].path" });
});

// Guards against an open route that gives access to paths outside its prefix.
test("open routes match whole segments and refuse ambiguous paths", (t) => {
  const { state } = applyValues(START);
  const match = (path: string, method = "GET") =>
    findOpenRoute(state, { method, path }) !== undefined;
  t.true(match("/bookings"));
  t.true(match("/bookings/17?x=/../"));
  t.false(match("/bookings-internal"));
  t.false(match("/bookings", "POST"));
  for (
    const path of ["/bookings/../admin", "/bookings/%2E%2e/a", "/bookings//a"]
  ) {
    t.false(match(path), path);
  }
});
