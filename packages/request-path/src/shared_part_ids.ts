/**
 * Remembers which prompt parts requests have in common. A memory reports every
 * part, and those of single requests are of no use to others.
 *
 * @module
 */

import type { SegmentKey } from "./kept_parts.ts";

/** Some 500 parts are in use at the users' sites at a time. */
const MAX_IDS = 20_000;

/** Part names without their scope, the latest used last. */
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
