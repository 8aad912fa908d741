import test from "ava";
import { Ledger, type LinkCutEntry } from "./ledger.ts";
import { judgeLinkCuts } from "./link_cut_rules.ts";

const CUT: LinkCutEntry = {
  atMs: 10_000,
  untilMs: 20_000,
  daemons: new Set([0]),
  name: "silent",
  isWhole: true,
};

interface Tries {
  readonly daemon: number;
  readonly count: number;
  readonly served: number;
  readonly sentAtMs?: number;
}

/** Adds first tries that were sent one after the other. */
function addTries(
  ledger: Ledger,
  { daemon, count, served, sentAtMs = 13_000 }: Tries,
): void {
  for (let index = 0; index < count; index++) {
    const id = `${ledger.requests.size}`;
    ledger.requests.set(id, {
      id,
      kind: "safe",
      service: "plain",
      daemon,
      sentAtMs: sentAtMs + index,
      isFirstTry: true,
      stream: undefined,
      lastEvent: 0,
      resumeAfter: 0,
      resumes: undefined,
      servedVersions: [],
      answer: {
        status: index < served ? 200 : 502,
        headers: {},
        body: "",
        end: "complete",
        atMs: sentAtMs + index + 1,
      },
    });
  }
}

function rulesBroken(tries: readonly Tries[], cut = CUT): string[] {
  const ledger = new Ledger();
  ledger.linkCuts.push(cut);
  ledger.forwardedAttempts.set(0, 0).set(1, 0);
  for (const one of tries) addTries(ledger, one);
  return judgeLinkCuts(ledger).breaches.map(({ rule }) => rule);
}

test("RECOVER is broken when cut-off daemons serve less than two thirds", (t) => {
  const others = { daemon: 1, count: 100, served: 100 };
  const broken = rulesBroken([{ daemon: 0, count: 100, served: 66 }, others]);
  t.deepEqual(broken, ["RECOVER"]);
  const kept = rulesBroken([{ daemon: 0, count: 100, served: 67 }, others]);
  t.deepEqual(kept, []);
});

test("RECOVER allows ten failures and one in fifty first tries", (t) => {
  const others = { daemon: 1, count: 80, served: 80 };
  t.deepEqual(rulesBroken([{ daemon: 0, count: 20, served: 8 }, others]), []);
  t.deepEqual(rulesBroken([{ daemon: 0, count: 20, served: 7 }, others]), [
    "RECOVER",
  ]);
});

test("RECOVER begins at the contact time and wants a cut from all servers", (t) => {
  const others = { daemon: 1, count: 100, served: 100 };
  const early = { daemon: 0, count: 100, served: 0, sentAtMs: 12_900 };
  t.deepEqual(rulesBroken([early, others]), []);
  const late = { daemon: 0, count: 100, served: 0 };
  t.deepEqual(rulesBroken([late, others], { ...CUT, isWhole: false }), []);
});

test("BLAMED is broken when the other daemons serve less than before", (t) => {
  const before = { daemon: 1, count: 100, served: 100, sentAtMs: 5_000 };
  const cutOff = { daemon: 0, count: 100, served: 100 };
  const broken = { daemon: 1, count: 100, served: 87 };
  t.deepEqual(rulesBroken([before, cutOff, broken]), ["BLAMED"]);
  const kept = { daemon: 1, count: 100, served: 88 };
  t.deepEqual(rulesBroken([before, cutOff, kept]), []);
});

test("FORWARDED is broken when no daemon is cut off by itself", (t) => {
  const judgeForwarded = (forwarded: number, daemons: ReadonlySet<number>) => {
    const ledger = new Ledger();
    ledger.linkCuts.push({ ...CUT, daemons });
    ledger.forwardedAttempts.set(0, forwarded).set(1, 0);
    addTries(ledger, { daemon: 1, count: 100, served: 100 });
    return judgeLinkCuts(ledger).breaches.map(({ rule }) => rule);
  };
  t.deepEqual(judgeForwarded(13, new Set([0, 1])), ["FORWARDED"]);
  t.deepEqual(judgeForwarded(12, new Set([0, 1])), []);
  t.deepEqual(judgeForwarded(13, new Set([0])), []);
});

test("a first try is not judged when its daemon is struck before its answer", (t) => {
  const ledger = new Ledger();
  ledger.linkCuts.push(CUT);
  addTries(ledger, { daemon: 0, count: 100, served: 0 });
  addTries(ledger, { daemon: 1, count: 100, served: 100 });
  const breaches = () => judgeLinkCuts(ledger).breaches.length;
  t.is(breaches(), 1);
  const struck = { atMs: 13_001, untilMs: 13_002, daemon: 0, name: "kill" };
  ledger.disturbances.push(struck);
  t.is(breaches(), 0);
});
