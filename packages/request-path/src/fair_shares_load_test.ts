import { setImmediate } from "node:timers/promises";
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

/** Engines that were chosen by what was known late have queues of seconds. */
const QUEUED = { disturbedUntilMs: UNTIL_MS + 1_500 };
/**
 * A daemon that hears nobody knows its own work only, and admits too much, for a
 * second longer than the burst here.
 */
const LONE = { disturbedUntilMs: 10_500 };

/** A few teams are large: the first sends seven times as much as the last. */
const TEAMS = Array.from({ length: 16 }, (_, index) => ({
  rules: team({ id: brandId<TeamId>(`team-${index}`) }),
  size: 1 / (index + 2),
}));
const SIZE_SUM = TEAMS.reduce((sum, { size }) => sum + size, 0);

/** For a test on a busy machine; each takes some seconds on an idle one. */
const TIMEOUT_MS = 240_000;

const isBurst = (atMs: number) => atMs >= FROM_MS && atMs < UNTIL_MS;
const burstOfLong: Play["factor"] = ({ kind, atMs }) =>
  kind === LONG && isBurst(atMs) ? 2.5 : 1;

/** One run for each seed; other tasks of the process come in between. */
async function playAll(plan: Partial<Play>): Promise<PlayedRequest[][]> {
  const runs: PlayedRequest[][] = [];
  for (const seed of SEEDS) {
    await setImmediate();
    runs.push(play({
      seed,
      hasShares: true,
      kinds: [LONG, SHORT],
      teams: TEAMS.map(({ rules, size }) => ({ rules, part: size / SIZE_SUM })),
      engines: 33,
      slots: 12,
      tokensPerMs: 41.4,
      daemons: 17,
      gossipMs: 200,
      untilMs: 13_000,
      factor: () => 1,
      ...plan,
    }));
  }
  return runs;
}

async function measureAll(
  plan: Partial<Play>,
  options?: Parameters<typeof measure>[1],
): Promise<Measured[]> {
  const runs = await playAll(plan);
  return runs.map((requests) => measure(requests, options));
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

test.serial("without shares a burst of long prompts costs the urgent ones most", async (t) => {
  t.timeout(TIMEOUT_MS);
  const runs = await measureAll({ hasShares: false, factor: burstOfLong });
  const worst = worstOf(runs);
  t.log("worst of five seeds", JSON.stringify(worst));
  t.true(runs.every(({ long, short }) => long > short));
  t.true(worst.short < 0.7);
});

test.serial("in a burst of long prompts the urgent ones are served in time", async (t) => {
  t.timeout(TIMEOUT_MS);
  const worst = checkShared(t, await measureAll({ factor: burstOfLong }));
  t.true(worst.shortInTime >= 0.97);
  t.true(worst.long >= 0.6, "engines must not be idle meanwhile");
});

test.serial("nobody is refused at the usual load", async (t) => {
  t.timeout(TIMEOUT_MS);
  for (const requests of await playAll({})) {
    t.true(requests.every(({ refusals }) => refusals.length === 0));
  }
});

for (const index of [0, 1]) {
  test.serial(`team ${index} at ten times its usual costs no other team a twentieth`, async (t) => {
    t.timeout(TIMEOUT_MS);
    const { id } = TEAMS[index]!.rules;
    const runs = await measureAll({
      factor: ({ team: one, atMs }) => one === id && isBurst(atMs) ? 10 : 1,
    });
    // At the usual load each team is served in full, as tested above.
    const shares = runs.flatMap(({ byTeam }) => byTeam.toSpliced(index, 1));
    const own = runs.map(({ byTeam }) => byTeam[index]!);
    t.log(`least share of another: ${Math.min(...shares)}; own: ${own}`);
    t.true(Math.min(...shares) >= 0.95);
    checkShared(t, runs);
  });
}

const CUT = { disturbedUntilMs: 9_000 };

test.serial("a third of the daemons without gossip for six seconds", async (t) => {
  t.timeout(TIMEOUT_MS);
  const plan: Partial<Play> = {
    factor: burstOfLong,
    untilMs: 14_000,
    isCut: (from, to, atMs) =>
      (from < 6) !== (to < 6) && atMs >= 3_000 && atMs < CUT.disturbedUntilMs,
  };
  const worst = checkShared(t, await measureAll(plan, QUEUED));
  t.true(worst.shortInTime >= 0.9);
});

test.serial("each daemon of a third alone for six seconds", async (t) => {
  t.timeout(TIMEOUT_MS);
  const plan: Partial<Play> = {
    factor: burstOfLong,
    untilMs: 15_000,
    isCut: (from, to, atMs) =>
      Math.min(from, to) < 6 && atMs >= 3_000 && atMs < CUT.disturbedUntilMs,
  };
  const worst = checkShared(t, await measureAll(plan, LONE));
  t.true(worst.shortInTime >= 0.9);
});

test.serial("a third of the daemons killed amid the burst", async (t) => {
  t.timeout(TIMEOUT_MS);
  const runs = await measureAll({
    factor: burstOfLong,
    isDown: (daemon, atMs) => daemon < 6 && atMs >= 4_000,
  });
  t.true(checkShared(t, runs).shortInTime >= 0.95);
});

// Frozen daemons keep what they have heard, and decide on it for many callers at
// once when they go on.
test.serial("a third of the daemons frozen for two seconds amid the burst", async (t) => {
  t.timeout(TIMEOUT_MS);
  const runs = await measureAll({
    factor: burstOfLong,
    frozenUntilMs: (daemon, atMs) =>
      daemon < 6 && atMs >= 4_000 && atMs < 6_000 ? 6_000 : undefined,
  }, QUEUED);
  const worst = checkShared(t, runs);
  t.true(worst.short >= 0.99);
});

// A large fleet gossips through relays: what a daemon knows is 400 ms old in the
// mean, and all daemons that choose by it choose the same engines.
const LARGE_FLEET = {
  daemons: 40,
  gossipMs: 800,
  untilMs: 14_000,
  factor: burstOfLong,
};

test.serial("in a large fleet a burst of long prompts costs the urgent ones most without shares", async (t) => {
  t.timeout(TIMEOUT_MS);
  const runs = await measureAll({ ...LARGE_FLEET, hasShares: false }, QUEUED);
  t.log("worst of five seeds", JSON.stringify(worstOf(runs)));
  t.true(runs.every(({ long, short }) => long > short));
});

test.serial("in a large fleet the urgent prompts are served in a burst of long ones", async (t) => {
  t.timeout(TIMEOUT_MS);
  const worst = checkShared(t, await measureAll(LARGE_FLEET, QUEUED));
  t.true(worst.short >= 0.99);
  t.true(worst.long >= 0.55, "engines must not be idle meanwhile");
});
