import test from "ava";
import fc from "fast-check";
import { exceedsDepth } from "./json_depth.ts";

function depthOf(value: unknown): number {
  if (typeof value !== "object" || value === null) return 0;
  return 1 + Math.max(0, ...Object.values(value).map(depthOf));
}

// Guards against counting brackets in strings as nesting, and against escaped
// quotes that hide real nesting.
test("the nesting depth does not depend on the content of strings", (t) => {
  const seed = Number(process.env.SEED ?? 20261204);
  t.log(`seed ${seed}; set SEED for another`);
  const text = fc.stringMatching(/^["\\[\]{}a]*$/);
  const value = fc.letrec((tie) => ({
    tree: fc.oneof(
      { depthSize: "small" },
      text,
      fc.integer(),
      fc.array(tie("tree")),
      fc.dictionary(text, tie("tree")),
    ),
  })).tree;
  fc.assert(
    fc.property(value, (tree) => {
      const depth = depthOf(tree);
      const json = Buffer.from(JSON.stringify(tree));
      t.false(exceedsDepth(json, depth));
      if (depth > 0) t.true(exceedsDepth(json, depth - 1));
    }),
    { seed, numRuns: 500 },
  );
  t.false(exceedsDepth(Buffer.from('"no end \\"[[[['), 0));
});
