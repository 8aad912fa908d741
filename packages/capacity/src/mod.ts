/**
 * Measures slopes for the capacity page.
 *
 * @module
 */

export { type Fit, fitLine, median, type Point } from "./fit.ts";
export {
  asyncTimeSeries,
  heapSeries,
  type MeasuredSeries,
  runSeries,
  type Series,
  sizeSeries,
  timeSeries,
  type Unit,
} from "./measure.ts";
export { ALL_SERIES } from "./series/mod.ts";
