/**
 * Tracks which prompt segments several requests share. A cache reports every
 * segment, and those of a single request are of no use to others.
 *
 * @module
 */

import type { SegmentKey } from "./cached_segments.ts";

/** Users' deployments have about 500 segments in use at a time. */
const MAX_IDS = 20_000;

/** Segment ids without their scope, least recently used first. */
export class SharedSegmentIds {
  readonly #ids = new Set<string>();

  add(segments: Iterable<SegmentKey>): void {
    for (const segment of segments) {
      const id = segmentIdOf(segment);
      this.#ids.delete(id);
      this.#ids.add(id);
    }
    for (const id of this.#ids) {
      if (this.#ids.size <= MAX_IDS) return;
      this.#ids.delete(id);
    }
  }

  has(segment: SegmentKey): boolean {
    return this.#ids.has(segmentIdOf(segment));
  }
}

function segmentIdOf(segment: SegmentKey): string {
  return segment.slice(segment.indexOf("|") + 1);
}
