/**
 * Measures processor time and bytes at several sizes.
 *
 * @module
 */

import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { type Fit, fitLine, median, type Point } from "./fit.ts";

/** What is measured on the y axis. */
export type Unit = "us" | "bytes";

/** A series before it runs; `run` gives y at a size. */
export interface Series {
  /** Unique, such as `prefix_index.block_bytes`. */
  readonly name: string;
  readonly unit: Unit;
  /** What x counts, in the singular. */
  readonly per: string;
  readonly sizes: readonly number[];
  readonly run: (size: number) => number | Promise<number>;
}

/** A series that ran. */
export interface MeasuredSeries {
  readonly name: string;
  readonly unit: Unit;
  readonly per: string;
  readonly points: readonly Point[];
  readonly fit: Fit;
}

/** Compilation also costs processor time, which later runs don't have. */
const WARM_UP_US = 300_000;
/** Calls over sockets pass through far more code. */
const SOCKET_WARM_UP_US = 1_500_000;
const MOST_WARM_UP_RUNS = 20;
const TIMED_RUNS = 7;
const HEAP_RUNS = 3;
/** Shorter runs drown in the resolution and noise of the processor clock. */
const SHORTEST_RUN_US = 20_000;
const MOST_CALLS = 100_000;

const collectGarbage = exposeGarbageCollector();

function exposeGarbageCollector(): () => void {
  // Works without the command-line flag, so that `npm run capacity` suffices.
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc");
}

/** Runs a series at each size and fits a line. */
export async function runSeries(series: Series): Promise<MeasuredSeries> {
  const points: Point[] = [];
  for (const x of series.sizes) points.push({ x, y: await series.run(x) });
  const { name, unit, per } = series;
  return { name, unit, per, points, fit: fitLine(points) };
}

/**
 * A series of processor time in microseconds. `prepare` makes fresh state for
 * each run and returns the work; with `repeatable` the work is called many
 * times on one state and the mean of a call counts.
 */
export function timeSeries(
  options: Omit<Series, "unit" | "run"> & {
    readonly repeatable?: boolean;
    readonly prepare: (size: number) => () => unknown;
  },
): Series {
  const { prepare, repeatable = false, ...rest } = options;
  const timeOnce = (size: number) =>
    repeatable ? timeRepeated(prepare(size)) : timeSingle(prepare(size));
  let isWarm = false;
  const run = (size: number) => {
    // The largest size first, so that all sizes meet compiled code.
    if (!isWarm) warmUp(() => timeOnce(Math.max(...rest.sizes)));
    isWarm = true;
    timeOnce(size);
    return median(Array.from({ length: TIMED_RUNS }, () => timeOnce(size)));
  };
  return { ...rest, unit: "us", run };
}

/** As {@link timeSeries} for work that waits, such as calls over a socket. */
export function asyncTimeSeries(
  options: Omit<Series, "unit" | "run"> & {
    /** Ends with a function that does the work and one that cleans up. */
    readonly prepare: (size: number) => Promise<{
      readonly work: () => Promise<unknown>;
      readonly close: () => Promise<unknown>;
    }>;
  },
): Series {
  const { prepare, ...rest } = options;
  let isWarm = false;
  const run = async (size: number) => {
    const { work, close } = await prepare(size);
    const samples: number[] = [];
    const warmUntilUs = processorUs() + (isWarm ? 0 : SOCKET_WARM_UP_US);
    while (processorUs() < warmUntilUs) await work();
    isWarm = true;
    for (let index = 0; index < TIMED_RUNS; index++) {
      const startUs = processorUs();
      await work();
      samples.push(processorUs() - startUs);
    }
    await close();
    return median(samples);
  };
  return { ...rest, unit: "us", run };
}

/** A series of heap and buffer bytes that the made value keeps alive. */
export function heapSeries(
  options: Omit<Series, "unit" | "run"> & {
    readonly make: (size: number) => unknown;
  },
): Series {
  const { make, ...rest } = options;
  const once = (size: number) => {
    const before = heldBytes();
    const value = make(size);
    const after = heldBytes();
    keepAlive(value);
    return after - before;
  };
  const run = (size: number) => {
    once(size);
    return median(Array.from({ length: HEAP_RUNS }, () => once(size)));
  };
  return { ...rest, unit: "bytes", run };
}

/** A series of encoded bytes, which are exact. */
export function sizeSeries(
  options: Omit<Series, "unit" | "run"> & {
    readonly encode: (size: number) => Uint8Array | string;
  },
): Series {
  const { encode, ...rest } = options;
  const run = (size: number) => Buffer.byteLength(encode(size));
  return { ...rest, unit: "bytes", run };
}

/** User and system time of this process, garbage collection included. */
export function processorUs(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}

function warmUp(timeOnce: () => unknown): void {
  const untilUs = processorUs() + WARM_UP_US;
  for (let run = 0; run < MOST_WARM_UP_RUNS; run++) {
    timeOnce();
    if (processorUs() >= untilUs) return;
  }
}

function timeSingle(work: () => unknown): number {
  collectGarbage();
  const startUs = processorUs();
  keepAlive(work());
  return processorUs() - startUs;
}

function timeRepeated(work: () => unknown): number {
  let calls = 0;
  const startUs = processorUs();
  let spentUs = 0;
  while (spentUs < SHORTEST_RUN_US && calls < MOST_CALLS) {
    keepAlive(work());
    calls++;
    // Reading the clock costs more than the shortest of the works.
    if (calls < 64 || calls % 64 === 0) spentUs = processorUs() - startUs;
  }
  return (processorUs() - startUs) / calls;
}

function heldBytes(): number {
  collectGarbage();
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

let lastValue: unknown;

/** Keeps the engine from leaving out work whose result nobody reads. */
function keepAlive(value: unknown): void {
  lastValue = value;
  if (lastValue === keepAlive) throw new Error("Never happens");
}
