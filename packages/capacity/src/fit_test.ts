import test from "ava";
import { fitLine, median } from "./fit.ts";

test("a fit finds the line that the points lie on", (t) => {
  const points = [10, 20, 40].map((x) => ({ x, y: 3 * x + 7 }));
  const { slope, intercept, r2 } = fitLine(points);
  t.true(Math.abs(slope - 3) < 1e-9);
  t.true(Math.abs(intercept - 7) < 1e-9);
  t.true(Math.abs(r2 - 1) < 1e-9);
});

test("a fit through scattered points has the least-squares slope and R2", (t) => {
  // Worked by hand: means 2 and 4, slope 2/2, residuals 1/3, -2/3, 1/3 squared.
  const points = [{ x: 1, y: 3 }, { x: 2, y: 3 + 1 / 3 }, { x: 3, y: 5 }];
  const { slope, intercept, r2 } = fitLine(points);
  t.true(Math.abs(slope - 1) < 1e-9);
  t.true(Math.abs(intercept - (34 / 9 - 2)) < 1e-9);
  t.true(Math.abs(r2 - (1 - (6 / 9 * 4 / 9) / (2 + 6 / 9 * 4 / 9))) < 1e-9);
});

test("points at one size give no slope instead of a wrong one", (t) => {
  t.throws(() => fitLine([{ x: 5, y: 1 }, { x: 5, y: 2 }]), {
    instanceOf: RangeError,
  });
});

test("one outlier does not move the median", (t) => {
  t.is(median([2, 1000, 1, 3, 2]), 2);
  t.is(median([4, 1, 2, 3]), 2.5);
});
