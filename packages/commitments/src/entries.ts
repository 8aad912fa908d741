/**
 * Parts of the entries that the state holds.
 *
 * @module
 */

import {
  type CommitmentEntry,
  type CommitmentRecordOf,
  isSameWriter,
} from "./records.ts";

const MAX_INTERNED_NAMES = 4096;

/** Most keys have no dead intents; they share one list. */
export const NO_INTENTS: readonly string[] = Object.freeze([]);

type HolderFields = Pick<
  CommitmentEntry,
  "keyDigest" | "bodyDigest" | "vmId" | "incarnation"
>;

/** Keeps one copy of the few names that stand in most entries. */
export class NameInterner {
  readonly #names = new Map<string, string>();

  /** The fields of an entry that name its holder. */
  holderFields(value: HolderFields, intentId: string) {
    const { keyDigest, bodyDigest } = value;
    const vmId = this.#intern(value.vmId);
    const incarnation = this.#intern(value.incarnation);
    return { keyDigest, bodyDigest, vmId, incarnation, intentId };
  }

  #intern(name: string): string {
    const known = this.#names.get(name);
    if (known !== undefined) return known;
    if (this.#names.size >= MAX_INTERNED_NAMES) this.#names.clear();
    this.#names.set(name, name);
    return name;
  }
}

/** Remembers an intent that never holds the key (again). */
export function addDeadIntent(entry: CommitmentEntry, intentId: string): void {
  entry.deadIntentIds = [...entry.deadIntentIds, intentId];
}

/**
 * The writer settles its intent. A later incarnation on the same VM may only
 * say `unknown`, since it cannot know what its predecessor did.
 */
export function maySettle(
  entry: CommitmentEntry,
  value: CommitmentRecordOf<"outcome">,
): boolean {
  if (isSameWriter(entry, value)) return true;
  return entry.vmId === value.vmId && value.outcome.result === "unknown";
}
