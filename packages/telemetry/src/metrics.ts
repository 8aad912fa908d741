/**
 * Counters, gauges and timings, sent in the StatsD format.
 *
 * @module
 */

import { StatsD } from "hot-shots";

/** Settings of {@link createMetrics}. */
export interface MetricsOptions {
  /**
   * IP address and UDP port of the collector; without one, counters are counted
   * but nothing is sent.
   */
  readonly address: string | undefined;
  readonly prefix: string;
  readonly tags: Readonly<Record<string, string>>;
}

/** Receives metrics. */
export interface MetricsSink {
  increment(name: string, tags?: Readonly<Record<string, string>>): void;
  gauge(
    name: string,
    value: number,
    options?: { readonly tags?: Readonly<Record<string, string>> },
  ): void;
  timing(
    name: string,
    valueMs: number,
    options?: { readonly tags?: Readonly<Record<string, string>> },
  ): void;
  /** Counters since the start by name, for the `status` command. */
  counts(): Readonly<Record<string, number>>;
  close(): void;
}

/** Largest datagram of metrics in bytes; it fits one Ethernet frame. */
const BUFFER_BYTES = 1400;
const FLUSH_INTERVAL_MS = 1000;

function createClient(options: MetricsOptions): StatsD | undefined {
  if (options.address === undefined) return undefined;
  const [host, port] = options.address.split(":");
  return new StatsD({
    host,
    port: Number(port),
    prefix: options.prefix,
    globalTags: { ...options.tags },
    maxBufferSize: BUFFER_BYTES,
    bufferFlushInterval: FLUSH_INTERVAL_MS,
    // A metric that can't be sent must not fail a request.
    errorHandler: () => {},
  });
}

/**
 * Creates a sink.
 *
 * @example
 * ```ts
 * const metrics = createMetrics({ address: "10.0.0.9:8125", prefix, tags });
 * metrics.increment("requests", { outcome: "refused" });
 * ```
 */
export function createMetrics(options: MetricsOptions): MetricsSink {
  const client = createClient(options);
  const counts: Record<string, number> = {};
  return {
    increment(name, tags = {}) {
      counts[name] = (counts[name] ?? 0) + 1;
      client?.increment(name, 1, { ...tags });
    },
    gauge(name, value, { tags = {} } = {}) {
      client?.gauge(name, value, { ...tags });
    },
    timing(name, valueMs, { tags = {} } = {}) {
      client?.timing(name, valueMs, { ...tags });
    },
    counts: () => counts,
    close: () => client?.close(() => {}),
  };
}
