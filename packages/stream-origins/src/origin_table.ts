/**
 * The versions that began streams, for as long as a stream can live.
 *
 * @module
 */

import type { SoftwareVersion } from "@endivebend/request-path";
import type { StreamKey } from "./stream_key.ts";

/** The version that began a stream, or that several are said to have. */
export type KnownOrigin =
  | { readonly kind: "version"; readonly version: SoftwareVersion }
  /** The server's version was unknown, or two versions have the same key. */
  | { readonly kind: "unknown" };

interface Entry {
  readonly version: SoftwareVersion | undefined;
  readonly untilMs: number;
}

/** Some 4 MB; the oldest streams are forgotten first. */
const MAX_STREAMS = 50_000;

/** Streams with the version that began each. */
export class OriginTable {
  readonly #entries = new Map<StreamKey, Entry>();

  /** Number of streams that are remembered. */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * Records that a server of the version began the stream. Where another
   * version was recorded, neither can be relied on.
   */
  record(
    key: StreamKey,
    began: {
      /** Undefined when unknown. */
      readonly version: SoftwareVersion | undefined;
      /** Until when the stream may be taken up. */
      readonly untilMs: number;
    },
  ): void {
    const known = this.#entries.get(key);
    this.#entries.delete(key);
    const isSame = known === undefined || known.version === began.version;
    this.#entries.set(key, {
      version: isSame ? began.version : undefined,
      untilMs: Math.max(began.untilMs, known?.untilMs ?? 0),
    });
    if (this.#entries.size <= MAX_STREAMS) return;
    const [oldest] = this.#entries.keys();
    if (oldest !== undefined) this.#entries.delete(oldest);
  }

  /** What began the stream; undefined when nothing is recorded. */
  find(key: StreamKey, nowMs: number): KnownOrigin | undefined {
    const entry = this.#entries.get(key);
    if (entry === undefined || entry.untilMs < nowMs) return undefined;
    return entry.version === undefined
      ? { kind: "unknown" }
      : { kind: "version", version: entry.version };
  }

  /** Forgets streams that can't be taken up any more. */
  prune(nowMs: number): void {
    for (const [key, { untilMs }] of this.#entries) {
      if (untilMs < nowMs) this.#entries.delete(key);
    }
  }
}
