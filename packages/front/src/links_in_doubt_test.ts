import test from "ava";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  ACCEPTING_FORMS,
  checkFirstTries,
  checkRunOnce,
  CONTACT_MS,
  CUT_AT_MS,
  CUT_MS,
  type Events,
  playCut,
  servedShare,
} from "./testing_cuts.ts";
import { TestFleet } from "./testing_fleet.ts";
import type { CutForm } from "./testing_links.ts";

const HALF = [0, 2, 5, 7];
const FORMS: readonly CutForm[] = [
  "accepted_reset",
  "late_reset",
  "accepted_silent",
  "accepted_silent_old_alive",
];
const HEALED_AT_MS = CUT_AT_MS + CUT_MS;
/** While servers fail by themselves few attempts go through other VMs. */
const MAX_FORWARDED_SHARE = 0.1;
/** Time after which a VM connects itself again. */
const REGAINED_MS = 1_000;

function forwardedBetween(
  fleet: TestFleet,
  fromMs: number,
  untilMs: number,
): number {
  return fleet.steps.filter(({ step, atMs, forwarder }) =>
    step === "place" && forwarder !== undefined &&
    Number(atMs) > fromMs && Number(atMs) <= untilMs
  ).length;
}

/** Share of the attempts that go through another VM. */
function forwardedShare(
  fleet: TestFleet,
  fromMs: number,
  untilMs: number,
): number {
  const placed = fleet.steps.filter(({ step, atMs }) =>
    step === "place" && Number(atMs) > fromMs && Number(atMs) <= untilMs
  );
  return forwardedBetween(fleet, fromMs, untilMs) / placed.length;
}

function countSteps(fleet: TestFleet, name: string): number {
  return fleet.steps.filter(({ step }) => step === name).length;
}

/** Engines fail by themselves at all VMs from 4 to 8 s. */
function failEngines(form: CutForm, share: number): Events {
  return (fleet) => {
    const failing = fleet.runningEngines()
      .map(({ listed }) => listed.address)
      .slice(0, Math.ceil(8 * share));
    return [
      [4_000, () => failing.forEach((each) => fleet.links.darken(each, form))],
      [8_000, () => failing.forEach((each) => fleet.links.lighten(each))],
    ];
  };
}

for (const form of FORMS) {
  test.serial(`VMs do not forward to each other while all servers fail by themselves, ${form}`, async (t) => {
    const { fleet } = await playCut([], form, {
      events: failEngines(form, 1),
      isCut: false,
    });
    const share = forwardedShare(fleet, 5_500, 8_000);
    t.true(share <= MAX_FORWARDED_SHARE, `${share}`);
    const after = forwardedShare(fleet, 8_000 + REGAINED_MS, 19_000);
    t.true(after <= MAX_FORWARDED_SHARE, `${after}`);
    const later = fleet.outcomes.filter(({ sentAtMs }) =>
      sentAtMs > 8_000 + REGAINED_MS && sentAtMs < 17_000
    );
    t.true(servedShare(later) > 0.98, `${servedShare(later)}`);
  });

  test.serial(`no VM is cut off while half of the servers fail by themselves, ${form}`, async (t) => {
    const { fleet } = await playCut([], form, {
      events: failEngines(form, 0.5),
      isCut: false,
    });
    const share = forwardedShare(fleet, 5_500, 8_000);
    t.true(share <= MAX_FORWARDED_SHARE, `${share}`);
    const after = forwardedShare(fleet, 8_000 + REGAINED_MS, 19_000);
    t.true(after <= MAX_FORWARDED_SHARE, `${after}`);
    const during = fleet.outcomes.filter(({ sentAtMs }) =>
      sentAtMs > 5_500 && sentAtMs < 17_000
    );
    t.true(servedShare(during) > 0.98, `${servedShare(during)}`);
  });

  test.serial(`a VM that starts while it is cut off serves its callers, ${form}`, async (t) => {
    const { atCut, atOthers } = await playCut(HALF, form, {
      events: (fleet) => [
        [7_000, () => fleet.killDaemon(2)],
        [9_000, () => fleet.startDaemon(2)],
      ],
    });
    const started = atCut.filter(({ daemon, sentAtMs }) =>
      daemon === 2 && sentAtMs > 9_000 + CONTACT_MS
    );
    const { isKept, counts } = checkFirstTries(started, atOthers);
    t.true(started.length > 50);
    t.true(isKept, counts);
  });

  test.serial(`a forwarder that is cut off the same way is noticed, ${form}`, async (t) => {
    const { atCut, atOthers } = await playCut(HALF, form, {
      events: (fleet) => [
        [9_000, () => fleet.cutOff([1, 4], form)],
        [14_000, () => fleet.heal([1, 4])],
      ],
    });
    const late = (outcomes: typeof atCut) =>
      outcomes.filter(({ sentAtMs }) => sentAtMs > 9_000 + CONTACT_MS);
    const { isKept, counts } = checkFirstTries(late(atCut), late(atOthers));
    t.true(isKept, counts);
  });

  test.serial(`a cut that flaps each second is served, ${form}`, async (t) => {
    const flaps: Events = (fleet) =>
      Array.from({ length: 12 }, (_, at) => [
        5_000 + 1_000 * at,
        () => at % 2 === 0 ? fleet.heal(HALF) : fleet.cutOff(HALF, form),
      ]);
    const { atCut, atOthers } = await playCut(HALF, form, { events: flaps });
    const { isKept, counts } = checkFirstTries(atCut, atOthers);
    t.log(counts);
    t.true(isKept, counts);
  });

  test.serial(`links to some servers that carry nothing are no cut, ${form}`, async (t) => {
    const { atCut, atOthers } = await playCut(HALF, form, {
      events: (fleet) => [
        [
          CUT_AT_MS + 1,
          () => fleet.heal(HALF, fleet.runningEngines().slice(4)),
        ],
      ],
    });
    const { isKept, counts } = checkFirstTries(atCut, atOthers);
    t.log(counts);
    t.true(isKept, counts);
  });

  test.serial(`a service with one server is served through other VMs, ${form}`, async (t) => {
    const { atCut, atOthers } = await playCut([3], form, { engines: 1 });
    const { isKept, counts } = checkFirstTries(atCut, atOthers);
    t.true(isKept, counts);
  });
}

for (const form of ACCEPTING_FORMS) {
  test.serial(`no server is blamed for links that carry nothing, and VMs connect themselves after the cut, ${form}`, async (t) => {
    const { fleet } = await playCut(HALF, form);
    const during = fleet.steps.filter(({ step, atMs }) =>
      step === "status" && Number(atMs) > CUT_AT_MS + CONTACT_MS &&
      Number(atMs) <= HEALED_AT_MS
    );
    t.true(during.length > 0);
    t.true(during.every(({ serversAvoided }) => serversAvoided === 0));
    t.is(
      forwardedBetween(fleet, HEALED_AT_MS + REGAINED_MS, HEALED_AT_MS + 3_000),
      0,
    );
  });

  test.serial(`a VM with few callers serves them once it is cut off, ${form}`, async (t) => {
    const fleet = new TestFleet({
      daemons: 8,
      engines: 8,
      kind: "at_most_once",
      isPlain: true,
    });
    await fleet.time.advance(4_000);
    fleet.cutOff([3], form);
    for (let sent = 0; sent < 12; sent++) {
      fleet.send(3, []);
      await fleet.time.advance(1_900);
    }
    await fleet.time.advance(7_000);
    const late = fleet.outcomes.filter(({ sentAtMs }) =>
      sentAtMs > 4_000 + CONTACT_MS
    );
    t.true(servedShare(late) >= 2 / 3, `${servedShare(late)}`);
    checkRunOnce(t, fleet);
  });
}

test.serial("servers that reset single requests are no cut", async (t) => {
  let count = 0;
  const { fleet } = await playCut([], "reset", {
    isCut: false,
    events: (fleet) => [[4_000, () => {
      fleet.resetsRequest = () => count++ % 3 === 0;
    }]],
  });
  t.is(countSteps(fleet, "servers_lost"), 0);
  const share = forwardedShare(fleet, 0, 19_000);
  t.log(`${share} of the attempts are forwarded`);
  t.true(share <= MAX_FORWARDED_SHARE, `${share}`);
  // Eight VMs, and one question in 1.5 s each, or four where two servers fail.
  t.log(`${fleet.linkChecks.length} questions in 15 s`);
});

test.serial("servers that take seconds to their first byte are no cut", async (t) => {
  const { fleet } = await playCut([], "reset", {
    isCut: false,
    kind: "at_most_once",
    events: (fleet) =>
      Array.from({ length: 4 }, (_, at) => [4_000 + 3_000 * at, () => {
        for (const engine of fleet.runningEngines()) {
          fleet.holdArrivals(engine, 2_500);
        }
      }]),
  });
  t.is(countSteps(fleet, "servers_lost"), 0);
  t.log(`${fleet.linkChecks.length} questions in 12 s`);
  t.true(fleet.linkChecks.length <= 8 * 12_000 / 1_500);
});

for (const form of FORMS) {
  test.serial(`requests that no VM has room to forward are refused as not run, ${form}`, async (t) => {
    const cut = [0, 1, 2, 3, 4, 5, 6];
    const { fleet, atCut } = await playCut(cut, form, {
      kind: "at_most_once",
      // Each takes 2.4 s, so that 350 are open and one VM forwards 192.
      runEvents: 80,
    });
    const failed = atCut.filter(({ hasEnded }) => !hasEnded);
    t.log(`${failed.length} of ${atCut.length} failed`);
    t.true(failed.length > 20, "the VM that forwards is full");
    const mayHaveRun = failed.filter(({ refusal }) => !refusal?.isNotRun);
    t.true(mayHaveRun.length <= atCut.length / 50, `${mayHaveRun.length}`);
    checkRunOnce(t, fleet);
  });
}

const LOSS_SEED = 1;

test.serial(`links that lose one connection in ten are no cut, seed ${LOSS_SEED}`, async (t) => {
  const random = xoroshiro128plus(LOSS_SEED);
  const { fleet } = await playCut([], "reset", {
    isCut: false,
    events: (fleet) => [[4_000, () => {
      fleet.links.losesConnection = () => uniformInt(random, 0, 9) === 0;
    }]],
  });
  const share = forwardedShare(fleet, 4_000, 16_000);
  t.log(`${share} forwarded, ${countSteps(fleet, "servers_lost")} cuts`);
  t.true(share <= MAX_FORWARDED_SHARE, `${share}`);
  const during = fleet.outcomes.filter(({ sentAtMs }) =>
    sentAtMs > 4_000 && sentAtMs < 16_000
  );
  t.true(servedShare(during) > 0.98, `${servedShare(during)}`);
});

test.serial("a VM without callers and without failures asks nothing", async (t) => {
  const fleet = new TestFleet({ daemons: 8, engines: 8 });
  await fleet.time.advance(15_000);
  t.deepEqual(fleet.linkChecks, []);
});
