/**
 * Helpers for the entries of the state.
 *
 * @module
 */

import {
  type CommitmentEntry,
  type CommitmentRecordOf,
  isSameWriter,
} from "./records.ts";

const MAX_INTERNED_NAMES = 4096;

/** Shared by all entries without dead intents, which are most, to save memory. */
export const NO_INTENTS: readonly string[] = Object.freeze([]);

type HolderFields = Pick<
  CommitmentEntry,
  "keyDigest" | "bodyDigest" | "vmId" | "incarnation"
>;

/**
 * Interns the ids of VMs and incarnations, which are few and occur in most
 * entries, to save memory.
 */
export class NameInterner {
  readonly #names = new Map<string, string>();

  /** The fields of an entry that identify its key and its holder. */
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

/** Records an intent that may not hold the key, or not hold it again. */
export function addDeadIntent(entry: CommitmentEntry, intentId: string): void {
  entry.deadIntentIds = [...entry.deadIntentIds, intentId];
}

/**
 * Whether an outcome record settles the entry. The writer of the intent may
 * record any outcome; a later incarnation on the same VM only `unknown`, since
 * it cannot know whether its predecessor dispatched the call.
 */
export function maySettle(
  entry: CommitmentEntry,
  value: CommitmentRecordOf<"outcome">,
): boolean {
  if (isSameWriter(entry, value)) return true;
  return entry.vmId === value.vmId && value.outcome.result === "unknown";
}
