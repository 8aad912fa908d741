/**
 * What a line of the control budget is made of, and the slopes that it uses.
 *
 * @module
 */

import type { MeasuredSeries } from "../measure.ts";

/** Whether a line counts against the limits of the control plane. */
export type LineKind =
  /** Runs whatever the callers do. */
  | "background"
  /** Messages between daemons that each request causes. */
  | "per request"
  /** Work on the request itself: not counted, but shown. */
  | "request path";

/** One line; a term is a product of factors, and terms are added. */
export interface Line {
  readonly name: string;
  readonly kind: LineKind;
  /** Microseconds of processor time per second. */
  readonly cpuUs?: readonly Term[];
  /** Bytes per second, sent and received. */
  readonly trafficBytes?: readonly Term[];
  readonly memoryBytes?: readonly Term[];
}

/** Factors with what each of them is. */
export type Term = readonly Factor[];

/** One factor of a term. */
export interface Factor {
  readonly value: number;
  readonly label: string;
}

/** Reads fitted lines by name. */
export class Slopes {
  readonly #series: ReadonlyMap<string, MeasuredSeries>;

  constructor(measured: readonly MeasuredSeries[]) {
    this.#series = new Map(measured.map((series) => [series.name, series]));
  }

  /** The slope as a factor. Throws when the series was not measured. */
  per(name: string): Factor {
    const { unit, per, fit } = this.#find(name);
    return { value: fit.slope, label: `${unit}/${per.split(",")[0]}` };
  }

  /** The line's value at a size. */
  at(name: string, size: number): Factor {
    const { unit, fit } = this.#find(name);
    const value = fit.intercept + fit.slope * size;
    return { value, label: `${unit} (${name} at ${Math.round(size)})` };
  }

  #find(name: string): MeasuredSeries {
    const series = this.#series.get(name);
    if (series !== undefined) return series;
    throw new Error(`${name} was not measured; measure all series first`);
  }
}

/** A factor with its label. */
export function times(value: number, label: string): Factor {
  return { value, label };
}
