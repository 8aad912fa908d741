/**
 * Remembers which prompt parts requests have in common. A memory reports every
 * part, and those of single requests are of no use to others.
 *
 * @module
 */

import type { PartKey } from "./kept_parts.ts";

/** Some 500 parts are in use at the users' sites at a time. */
const MAX_IDS = 20_000;

/** Part names without their scope, the latest used last. */
export class SharedPartIds {
  readonly #ids = new Set<string>();

  add(parts: Iterable<PartKey>): void {
    for (const part of parts) {
      const id = idOf(part);
      this.#ids.delete(id);
      this.#ids.add(id);
    }
    for (const id of this.#ids) {
      if (this.#ids.size <= MAX_IDS) return;
      this.#ids.delete(id);
    }
  }

  has(part: PartKey): boolean {
    return this.#ids.has(idOf(part));
  }
}

function idOf(part: PartKey): string {
  return part.slice(part.indexOf("|") + 1);
}
