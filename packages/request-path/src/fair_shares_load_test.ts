import test from "ava";
import { brandId, type TeamId } from "@endivebend/types";
import { team } from "./testing.ts";
import {
  type LoadKind,
  type Play,
  play,
  type PlayedRequest,
} from "./testing_share_model.ts";

// 33 engines and 17 daemons get long prompts of little urgency beside short
// urgent ones. In a burst more long prompts come than the engines can prefill.
// Without shares, the urgent prompts were refused more often than the others.

const LONG: LoadKind = {
  urgency: 2,
  perS: 131,
  promptTokens: 6_000,
  outputTokens: 7,
  targetMs: 1_215,
  timeLimitMs: 5_063,
};
const SHORT: LoadKind = {
  urgency: 0,
  perS: 203,
  promptTokens: 628,
  outputTokens: 42,
  targetMs: 407,
  timeLimitMs: 12_195,
};
const SEEDS = [1, 2, 3, 4, 5];
const FROM_MS = 2_000;
const UNTIL_MS = 8_000;
/**
 * Time in which the backlog and the callers that return are served: long
 * prompts wait for up to 1,100 ms, and the usual load leaves a third of the
 * engines' time.
 */
const DRAIN_MS = 3_000;

/** A few teams are large: the first sends seven times as much as the last. */
const TEAMS = Array.from({ length: 16 }, (_, index) => ({
  rules: team({ id: brandId<TeamId>(`team-${index}`) }),
  size: 1 / (index + 2),
}));
const SIZE_SUM = TEAMS.reduce((sum, { size }) => sum + size, 0);

const isBurst = (atMs: number) => atMs >= FROM_MS && atMs < UNTIL_MS;
const burstOfLong: Play["factor"] = ({ kind, atMs }) =>
  kind === LONG && isBurst(atMs) ? 2.5 : 1;

/** Measurements without any burst, of the same seeds. */
let usualRuns: readonly Measured[] | undefined;
function measureUsual(): readonly Measured[] {
  usualRuns ??= playAll({}).map((requests) => measure(requests));
  return usualRuns;
}

function playAll(plan: Partial<Play>): PlayedRequest[][] {
  return SEEDS.map((seed) =>
    play({
      seed,
      hasShares: true,
      kinds: [LONG, SHORT],
      teams: TEAMS.map(({ rules, size }) => ({ rules, part: size / SIZE_SUM })),
      engines: 33,
      slots: 12,
      tokensPerMs: 41.4,
      daemons: 17,
      untilMs: 13_000,
      factor: () => 1,
      ...plan,
    })
  );
}

function partOf(
  requests: readonly PlayedRequest[],
  is: (request: PlayedRequest) => boolean,
): number {
  return requests.length === 0
    ? 1
    : requests.filter(is).length / requests.length;
}
const isServed = ({ firstEventMs }: PlayedRequest) =>
  firstEventMs !== undefined;
const isTimely = ({ firstEventMs, kind }: PlayedRequest) =>
  firstEventMs !== undefined && firstEventMs <= kind.targetMs;
const round = (part: number) => Math.round(part * 1_000) / 1_000;

/** Parts of the requests that came in the burst. */
function measure(
  requests: readonly PlayedRequest[],
  { disturbedUntilMs = UNTIL_MS } = {},
) {
  const overMs = disturbedUntilMs + DRAIN_MS;
  const inBurst = requests.filter(({ atMs }) => isBurst(atMs));
  const long = inBurst.filter(({ kind }) => kind === LONG);
  const short = inBurst.filter(({ kind }) => kind === SHORT);
  const served = round(partOf(inBurst, isServed));
  const byTeam = TEAMS.map(({ rules }) =>
    round(partOf(inBurst.filter((one) => one.team === rules.id), isServed))
  );
  const refusals = requests.flatMap((one) => one.refusals);
  return {
    served,
    long: round(partOf(long, isServed)),
    longInTime: round(partOf(long, isTimely)),
    short: round(partOf(short, isServed)),
    shortInTime: round(partOf(short, isTimely)),
    leastTeam: Math.min(...byTeam),
    byTeam,
    needless: refusals.filter(({ isNeedless }) => isNeedless).length,
    refusedOnArrivalAfter:
      requests.filter(({ atMs, refusals: [first] }) =>
        atMs > overMs && first !== undefined
      ).length,
  };
}
type Measured = ReturnType<typeof measure>;

/** The worst of all seeds, for the log and for the checks. */
function worstOf(runs: readonly Measured[]) {
  const least = (name: Exclude<keyof Measured, "byTeam">) =>
    Math.min(...runs.map((run) => run[name]));
  const most = (name: "needless" | "refusedOnArrivalAfter") =>
    Math.max(...runs.map((run) => run[name]));
  return {
    served: least("served"),
    long: least("long"),
    longInTime: least("longInTime"),
    short: least("short"),
    shortInTime: least("shortInTime"),
    leastTeam: least("leastTeam"),
    needless: most("needless"),
    refusedOnArrivalAfter: most("refusedOnArrivalAfter"),
  };
}

/** What holds for each run with shares, whatever disturbs it. */
function checkShared(
  t: {
    true(value: boolean, message: string): unknown;
    log: typeof console.log;
  },
  runs: readonly Measured[],
): ReturnType<typeof worstOf> {
  const worst = worstOf(runs);
  t.log("worst of five seeds", JSON.stringify(worst));
  for (const [index, run] of runs.entries()) {
    const seed = `seed ${SEEDS[index]}`;
    t.true(run.long <= run.short + 0.05, `${seed}: less urgent served better`);
    t.true(run.long >= run.served / 4, `${seed}: a kind starves`);
    t.true(run.leastTeam >= run.served / 4, `${seed}: a team starves`);
    t.true(run.needless === 0, `${seed}: refused beside free places`);
    t.true(run.refusedOnArrivalAfter === 0, `${seed}: refused after the burst`);
  }
  return worst;
}

test("without shares a burst of long prompts costs the urgent ones most", (t) => {
  const runs = playAll({ hasShares: false, factor: burstOfLong })
    .map((requests) => measure(requests));
  const worst = worstOf(runs);
  t.log("worst of five seeds", JSON.stringify(worst));
  t.true(runs.every(({ long, short }) => long > short));
  t.true(worst.short < 0.7);
});

test("in a burst of long prompts the urgent ones are served in time", (t) => {
  const worst = checkShared(
    t,
    playAll({ factor: burstOfLong }).map((requests) => measure(requests)),
  );
  t.true(worst.shortInTime >= 0.97);
  t.true(worst.long >= 0.6, "engines must not be idle meanwhile");
});

test("nobody is refused at the usual load", (t) => {
  for (const requests of playAll({})) {
    t.true(requests.every(({ refusals }) => refusals.length === 0));
  }
});

for (const index of [0, 1, 6, 15]) {
  test(`team ${index} at ten times its usual costs no other team a twentieth`, (t) => {
    const { id } = TEAMS[index]!.rules;
    const usual = measureUsual();
    const loud = playAll({
      factor: ({ team: one, atMs }) => one === id && isBurst(atMs) ? 10 : 1,
    }).map((requests) => measure(requests));
    const losses = loud.flatMap(({ byTeam }, at) =>
      byTeam.map((part, other) =>
        other === index ? 0 : usual[at]!.byTeam[other]! - part
      )
    );
    const own = loud.map(({ byTeam }) => byTeam[index]!);
    const most = round(Math.max(...losses));
    t.log(`most lost by another team: ${most}; own share: ${own.join(" ")}`);
    t.true(most <= 0.05);
    checkShared(t, loud);
  });
}

const CUT = { disturbedUntilMs: 9_000 };

test("a third of the daemons without gossip for six seconds", (t) => {
  const isApart = (daemon: number) => daemon < 6;
  const runs = playAll({
    factor: burstOfLong,
    isCut: (from, to, atMs) =>
      isApart(from) !== isApart(to) && atMs >= 3_000 &&
      atMs < CUT.disturbedUntilMs,
  });
  const worst = checkShared(t, runs.map((run) => measure(run, CUT)));
  t.true(worst.shortInTime >= 0.9);
});

/**
 * A daemon that hears nobody knows its own work only, and admits too much: the
 * engines have queues of some seconds when the links are back.
 */
const LONE_UNTIL_MS = CUT.disturbedUntilMs + 1_500;

test("each daemon of a third alone for six seconds", (t) => {
  const runs = playAll({
    factor: burstOfLong,
    untilMs: 15_000,
    isCut: (from, to, atMs) =>
      Math.min(from, to) < 6 && atMs >= 3_000 && atMs < CUT.disturbedUntilMs,
  });
  const worst = checkShared(
    t,
    runs.map((run) => measure(run, { disturbedUntilMs: LONE_UNTIL_MS })),
  );
  t.true(worst.shortInTime >= 0.9);
});

test("a third of the daemons killed amid the burst", (t) => {
  const runs = playAll({
    factor: burstOfLong,
    isDown: (daemon, atMs) => daemon < 6 && atMs >= 4_000,
  });
  const worst = checkShared(t, runs.map((run) => measure(run)));
  t.true(worst.shortInTime >= 0.95);
});
