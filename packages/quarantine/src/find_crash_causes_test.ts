import type { ModelName } from "@endivebend/types";
import { brandId } from "@endivebend/types";
import test from "ava";
import fc from "fast-check";
import {
  type Crash,
  type CrashHistory,
  findCrashCauses,
  segmentOfModel,
  type SuspectKey,
} from "./mod.ts";

const MODEL = brandId<ModelName>("m");

function key(id: string): SuspectKey {
  return segmentOfModel(MODEL, id);
}

/** A crash with prompts, each given as its shared segments in order. */
function crash(atMs: number, ...prompts: string[][]): Crash {
  const suspects = prompts.flatMap((prompt) =>
    prompt.map((id, depth) => ({ key: key(id), depth }))
  );
  return { atMs, isExplained: false, suspects };
}

function causes(
  crashes: readonly Crash[],
  {
    answered = {},
    known = [],
    settledUntilMs = Number.POSITIVE_INFINITY,
  }: {
    readonly answered?: Readonly<Record<string, number>>;
    readonly known?: readonly string[];
    readonly settledUntilMs?: number;
  } = {},
): string[] {
  const history: CrashHistory = {
    crashes,
    answeredAtMs: (name) => answered[name.slice(2)],
    isKnownCause: (name) => known.includes(name.slice(2)),
    settledUntilMs,
  };
  return findCrashCauses(history).map((name) => name.slice(2));
}

test("two crashes convict nobody", (t) => {
  t.deepEqual(causes([crash(0, ["bad"]), crash(900, ["bad"])]), []);
});

test("the segment that all crashes share is convicted, its neighbours are not", (t) => {
  t.deepEqual(
    causes([
      crash(0, ["rules", "bad"], ["other"]),
      crash(400, ["rules", "bad"]),
      crash(900, ["briefs", "bad"], ["third"]),
    ]),
    ["bad"],
  );
});

test("crashes in quick succession convict a segment that was answered before only once answers between them would be known", (t) => {
  const crashes = [
    crash(1_000, ["popular"]),
    crash(1_150, ["popular"]),
    crash(1_300, ["popular"]),
  ];
  const answered = { popular: 900 };
  t.deepEqual(causes(crashes, { answered, settledUntilMs: 1_250 }), []);
  t.deepEqual(causes(crashes, { answered, settledUntilMs: 1_300 }), [
    "popular",
  ]);
  t.deepEqual(causes(crashes, { settledUntilMs: 0 }), ["popular"]);
});

test("a segment that is answered after a crash is not its cause", (t) => {
  const crashes = [0, 400, 900].map((atMs) => crash(atMs, ["rules", "bad"]));
  t.deepEqual(causes(crashes, { answered: { bad: 500 } }), ["rules"]);
  t.deepEqual(causes(crashes, { answered: { bad: 500, rules: 950 } }), []);
});

test("of segments with the same crashes the one never answered is convicted", (t) => {
  const crashes = [100, 400, 900].map((atMs) =>
    crash(atMs, ["bad", "rules", "parish"])
  );
  t.deepEqual(causes(crashes, { answered: { rules: 50, parish: 20 } }), [
    "bad",
  ]);
});

test("of segments never answered the one that fewest requests share is convicted", (t) => {
  const crashes = [100, 400, 900].map((atMs) => crash(atMs, ["rules", "bad"]));
  t.deepEqual(causes(crashes), ["bad"]);
});

test("a convicted segment that does not stop the crashes is joined by the other at once", (t) => {
  const crashes = [100, 400, 900].map((atMs) => crash(atMs, ["bad", "parish"]));
  t.deepEqual(causes(crashes), ["parish"]);
  t.deepEqual(
    causes([...crashes, crash(1_500, ["bad", "other"])], { known: ["parish"] }),
    ["bad"],
  );
});

test("engines that end at once count as one crash", (t) => {
  t.deepEqual(
    causes([
      crash(100, ["hot"]),
      crash(110, ["hot"]),
      crash(130, ["hot"]),
      crash(5_000, ["hot"]),
    ]),
    [],
  );
});

test("crashes that a known cause explains convict nobody else", (t) => {
  const crashes = [0, 400, 900, 1_300].map((atMs) =>
    crash(atMs, ["rules", "bad"], ["bystander"])
  );
  t.deepEqual(causes(crashes, { known: ["bad"] }), []);
});

test("a crash whose cause nobody saw does not convict what the cause stood beside", (t) => {
  const crashes = [100, 250, 400].map((atMs) => crash(atMs, ["rules", "bad"]));
  t.deepEqual(
    causes([...crashes, crash(500, ["rules", "sound"])], {
      answered: { rules: 50 },
      known: ["bad"],
    }),
    [],
  );
});

test("two deadly segments at once are both convicted", (t) => {
  const crashes = [0, 200, 400, 600, 800, 1_000].map((atMs, index) =>
    crash(atMs, ["rules", index % 2 === 0 ? "one" : "two"])
  );
  t.deepEqual(causes(crashes, { answered: { rules: 1_100 } }).sort(), [
    "one",
    "two",
  ]);
});

test("a deadly segment is convicted whatever stands beside it", (t) => {
  const name = fc.constantFrom("a", "b", "c", "d", "e", "f");
  const prompt = fc.array(name, { minLength: 1, maxLength: 3 });
  fc.assert(
    fc.property(
      fc.array(fc.array(prompt, { maxLength: 4 }), {
        minLength: 3,
        maxLength: 8,
      }),
      fc.nat(3),
      (others, depth) => {
        const crashes = others.map((prompts, index) =>
          crash(
            index * 500,
            ["x", "y", "z"].toSpliced(depth, 0, "bad"),
            ...prompts,
          )
        );
        // Sound segments are answered between the crashes.
        const answered = Object.fromEntries(
          ["a", "b", "c", "d", "e", "f", "x", "y", "z"]
            .map((id) => [id, others.length * 500]),
        );
        t.deepEqual(causes(crashes, { answered }), ["bad"]);
      },
    ),
    { seed: 5 },
  );
});
