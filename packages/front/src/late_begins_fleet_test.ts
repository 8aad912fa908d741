import test from "ava";
import { type Engine, type FleetOptions, TestFleet } from "./testing_fleet.ts";

const DAEMONS = 4;
const ENGINES = 6;
const SEND_INTERVAL_MS = 20;
const NAMED_AT_MS = 4_000;
/** No request may begin on older weights this long after newer were named. */
const VERSION_MS = 8_000;
const BOUND_AT_MS = NAMED_AT_MS + VERSION_MS;
/** Until then all engines have the older weights, later some have the newer. */
const LOADED_AT_MS = BOUND_AT_MS - 1_000;
const LOADED_ENGINES = 3;
/** A moment at which requests are still sent to engines with older weights. */
const TROUBLE_AT_MS = BOUND_AT_MS - 2_400;
const END_MS = BOUND_AT_MS + 6_000;
/** The pause of daemons that stand still at the bound. */
const FROZEN_FROM_MS = BOUND_AT_MS - 800;
const FROZEN_FOR_MS = 1_200;

/** What lets requests that were sent in time begin late. */
const TROUBLES: Readonly<
  Record<string, (fleet: TestFleet, engines: readonly Engine[]) => void>
> = {
  "are full": (fleet, engines) => {
    for (const engine of engines) fleet.holdRuns(engine, 3_000);
  },
  "free their slots just after the bound": freeBehindBound,
  "are frozen": (fleet, engines) => {
    for (const engine of engines) {
      fleet.holdArrivals(engine, 3_000);
      fleet.holdRuns(engine, 3_000);
    }
  },
  "are full and reached through other VMs": (fleet, engines) => {
    fleet.cutOff([0, 2], "silent");
    for (const engine of engines) fleet.holdRuns(engine, 3_000);
  },
};

/** Daemons that stand still, and those whose requests they hold. */
const PAUSES: Readonly<
  Record<
    string,
    { readonly frozen: readonly number[]; readonly senders: readonly number[] }
  >
> = {
  "its daemon stands still": { frozen: [0], senders: [0] },
  "the VM that forwards it stands still": { frozen: [1, 3], senders: [0, 2] },
};

const CALLERS: Readonly<Record<string, Partial<FleetOptions>>> = {
  "streams that may be sent twice": {},
  "streams with one attempt": { maxAttempts: 1 },
  "streams that run at most once": { kind: "stream" },
};

/** Lets requests wait at the engines until just after the bound. */
function freeBehindBound(fleet: TestFleet, engines: readonly Engine[]): void {
  const heldMs = BOUND_AT_MS + 50 - fleet.time.nowMs;
  for (const engine of engines) fleet.holdRuns(engine, heldMs);
}

function lateBegins(fleet: TestFleet): TestFleet["begunRuns"] {
  return fleet.begunRuns.filter(({ atMs, weights }) =>
    weights === 1 && atMs > BOUND_AT_MS
  );
}

async function play(
  trouble: (fleet: TestFleet, engines: readonly Engine[]) => void,
  { options = {}, beforeName = () => {} }: {
    readonly options?: Partial<FleetOptions>;
    readonly beforeName?: (fleet: TestFleet) => void;
  },
): Promise<TestFleet> {
  const fleet = new TestFleet({
    daemons: DAEMONS,
    engines: ENGINES,
    ...options,
  });
  const { time } = fleet;
  const [...engines] = fleet.runningEngines();
  time.after(NAMED_AT_MS - 500, () => beforeName(fleet));
  time.after(NAMED_AT_MS, () => fleet.nameWeights(2));
  time.after(LOADED_AT_MS, () => {
    for (const engine of engines.slice(0, LOADED_ENGINES)) {
      engine.weights = 2;
      engine.beginsFromMs = 0;
      engine.heldUntilMs = 0;
      fleet.report(engine);
    }
  });
  time.after(TROUBLE_AT_MS, () => trouble(fleet, engines));
  let sent = 0;
  const send = () => {
    fleet.send(sent % DAEMONS, [`rules-${sent % 7}`, `parish-${sent % 61}`]);
    sent += 1;
    if (time.nowMs < BOUND_AT_MS) time.after(SEND_INTERVAL_MS, send);
  };
  time.after(2_000, send);
  await time.advance(END_MS);
  return fleet;
}

// Guards against a bound on the begin that is kept only when a request is sent,
// by a guess of its wait.
for (const [how, trouble] of Object.entries(TROUBLES)) {
  for (const [callers, options] of Object.entries(CALLERS)) {
    test(`no request begins on weights replaced too long ago as engines ${how}: ${callers}`, async (t) => {
      const fleet = await play(trouble, { options });
      t.deepEqual(lateBegins(fleet), []);
      const waiting = fleet.outcomes.filter(({ sentAtMs }) =>
        sentAtMs > TROUBLE_AT_MS && sentAtMs < TROUBLE_AT_MS + 900
      );
      t.true(waiting.length > 40);
      const open = waiting.filter(({ hasEnded, isCut, refusal }) =>
        !hasEnded && !isCut && refusal === undefined
      );
      t.deepEqual(open, [], "requests without an answer");
      const untrue = waiting.filter(({ requestId, refusal }) =>
        refusal?.isNotRun === true &&
        fleet.begunRuns.some((run) => run.requestId === requestId)
      );
      t.deepEqual(untrue, [], "requests that ran and are said not to have run");
    });
  }
}

/** What lets daemons hear of a name late, or count from a later one. */
const NAMES: Readonly<Record<string, (fleet: TestFleet) => void>> = {
  "half of the daemons read no names": (fleet) =>
    fleet.cutOffFromStore([1, 3], "silent"),
  "a daemon starts after the name": (fleet) => {
    fleet.killDaemon(1);
    fleet.time.after(3_000, () => fleet.startDaemon(1));
  },
  "others are named soon after": (fleet) => {
    for (const [afterMs, weights] of [[1_700, 3], [2_900, 4]] as const) {
      fleet.time.after(afterMs, () => fleet.nameWeights(weights));
    }
  },
};

for (const [how, beforeName] of Object.entries(NAMES)) {
  test(`no request begins on weights replaced too long ago as ${how}`, async (t) => {
    const fleet = await play(TROUBLES["are full"]!, {
      options: { maxAttempts: 1 },
      beforeName,
    });
    t.deepEqual(lateBegins(fleet), []);
    const waited = fleet.steps.filter(({ step }) =>
      step === "attempt_withdrawn"
    );
    t.true(new Set(waited.map(({ vm }) => vm)).size === DAEMONS);
  });
}

// A daemon that stands still withdraws nothing until it runs again.
for (const [how, { frozen, senders }] of Object.entries(PAUSES)) {
  test(`no request begins on weights replaced too long ago as ${how}`, async (t) => {
    const fleet = await play((fleet, engines) => {
      const forwarded = senders.filter((daemon) => !frozen.includes(daemon));
      fleet.cutOff(forwarded, "silent");
      freeBehindBound(fleet, engines);
      fleet.time.after(FROZEN_FROM_MS - fleet.time.nowMs, () => {
        for (const daemon of frozen) fleet.freezeDaemon(daemon, FROZEN_FOR_MS);
      });
    }, {});
    const sent = new Set(
      fleet.outcomes.filter(({ daemon }) => senders.includes(daemon))
        .map(({ requestId }) => requestId),
    );
    const late = lateBegins(fleet);
    t.deepEqual(late.filter(({ requestId }) => sent.has(requestId)), []);
  });
}
