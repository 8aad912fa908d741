/**
 * Counters, gauges and latency histograms, rendered in the Prometheus text format.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";

/** Larger values are recorded as this one. */
const MAX_VALUE_MS = 120_000;
const QUANTILES = [50, 90, 99, 100] as const;

/** Holds counters by name and labels, and gauges and histograms by name. */
export class TextMetrics {
  readonly #counts = new Map<string, number>();
  readonly #gauges = new Map<string, () => number>();
  readonly #histograms = new Map<string, Histogram>();

  count(
    name: string,
    labels: Readonly<Record<string, string>> = {},
    increment = 1,
  ): void {
    const key = name + formatLabels(labels);
    this.#counts.set(key, (this.#counts.get(key) ?? 0) + increment);
  }

  /** Adds a gauge, which is read whenever the text is rendered. */
  gauge(name: string, read: () => number): void {
    this.#gauges.set(name, read);
  }

  observeMs(name: string, valueMs: number): void {
    const histogram = this.#histograms.get(name) ?? newHistogram();
    this.#histograms.set(name, histogram);
    const bounded = Math.min(MAX_VALUE_MS, Math.max(0, valueMs));
    histogram.recordValue(Math.round(bounded));
  }

  /** Renders one line for each counter, gauge, quantile and count. */
  text(): string {
    const lines = [...this.#counts].map(([key, value]) => `${key} ${value}`);
    for (const [name, read] of this.#gauges) lines.push(`${name} ${read()}`);
    for (const [name, histogram] of this.#histograms) {
      for (const quantile of QUANTILES) {
        const value = histogram.getValueAtPercentile(quantile);
        lines.push(`${name}{quantile="${quantile / 100}"} ${value}`);
      }
      lines.push(`${name}_count ${histogram.totalCount}`);
    }
    return lines.join("\n") + "\n";
  }
}

function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_VALUE_MS,
    numberOfSignificantValueDigits: 2,
    useWebAssembly: false,
  });
}

function formatLabels(labels: Readonly<Record<string, string>>): string {
  const entries = Object.entries(labels);
  if (entries.length === 0) return "";
  const text = entries.map(([name, value]) => `${name}="${value}"`).join(",");
  return `{${text}}`;
}
