/**
 * A least-squares line through measured points.
 *
 * @module
 */

/** One measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A line and how well it fits. */
export interface Fit {
  /** Change of y per unit of x. */
  readonly slope: number;
  /** y at x = 0. */
  readonly intercept: number;
  /** Share of the variance of y that the line explains; 1 is exact. */
  readonly r2: number;
}

/**
 * Fits a line by least squares. Throws a `RangeError` unless there are at
 * least two different x.
 *
 * @example
 * ```ts
 * fitLine([{ x: 1, y: 3 }, { x: 2, y: 5 }]); // slope 2, intercept 1, r2 1
 * ```
 */
export function fitLine(points: readonly Point[]): Fit {
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const spreadX = sum(points.map(({ x }) => (x - meanX) ** 2));
  if (!(spreadX > 0)) {
    throw new RangeError("A fit needs points at two different sizes");
  }
  const shared = sum(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const slope = shared / spreadX;
  const intercept = meanY - slope * meanX;
  return { slope, intercept, r2: explained(points, { slope, intercept }) };
}

/**
 * The middle value; the mean of the two middle ones when there is no single
 * one. Throws a `RangeError` for no values.
 *
 * @example
 * ```ts
 * median([9, 1, 2]); // 2
 * ```
 */
export function median(values: readonly number[]): number {
  if (values.length === 0) throw new RangeError("A median needs a value");
  const sorted = [...values].sort((left, right) => left - right);
  const half = Math.floor(sorted.length / 2);
  const upper = sorted[half]!;
  return sorted.length % 2 === 1 ? upper : (sorted[half - 1]! + upper) / 2;
}

function explained(
  points: readonly Point[],
  line: Pick<Fit, "slope" | "intercept">,
): number {
  const meanY = mean(points.map(({ y }) => y));
  const total = sum(points.map(({ y }) => (y - meanY) ** 2));
  const left = sum(
    points.map(({ x, y }) => (y - line.intercept - line.slope * x) ** 2),
  );
  // A flat series is explained by a flat line.
  return total === 0 ? 1 : 1 - left / total;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}
