/**
 * Applies the records of the `rights` stream to the rights state, and rebuilds
 * the state from a snapshot when the log no longer holds the stream's first
 * records.
 *
 * @module
 */

import {
  applyRightsRecord,
  createRightsState,
  decodeRightsState,
  encodeRightsState,
  type HolderChange,
  parseRightsRecord,
  rebuildFromSnapshot,
  type RightsState,
} from "@endivebend/rights";
import { brandId, type LogOffset, type LogRecord } from "@endivebend/types";
import type { StreamFold } from "../ports.ts";

/** Called with the changes of one record; empty when the state was replaced. */
export type RightsListener = (changes: readonly HolderChange[]) => void;

/**
 * The rights state, as this VM has read it from the `rights` stream.
 *
 * @example
 * ```ts
 * const fold = new RightsFold();
 * const stream = new LogFollower({ stream: "rights", fold, ...rest });
 * const rights = createRightsTask({ fold, stream, ...others });
 * ```
 */
export class RightsFold implements StreamFold {
  #state = createRightsState();
  /** Records read since a gap; undefined while the state is complete. */
  #recordsSinceGap: LogRecord[] | undefined;
  #version = 0;
  #listener: RightsListener = () => {};

  /** The state; empty while {@link isComplete} is false. */
  get state(): RightsState {
    return this.#state;
  }

  /** Number of applied records and replaced states. */
  get version(): number {
    return this.#version;
  }

  /** False after a gap until a snapshot that covers the gap has been read. */
  isComplete(): boolean {
    return this.#recordsSinceGap === undefined;
  }

  /** Sets the listener; there is only one. */
  listen(listener: RightsListener): void {
    this.#listener = listener;
  }

  apply(record: LogRecord): void {
    if (this.#recordsSinceGap !== undefined) return this.#applyAfterGap(record);
    const changes = applyRightsRecord(this.#state, record);
    this.#version++;
    this.#listener(changes);
  }

  snapshot(): { readonly json: string; readonly offset: LogOffset } {
    const offset = brandId<LogOffset>(this.#state.nextOffset - 1);
    return { json: encodeRightsState(this.#state), offset };
  }

  restore(json: string, _offset: LogOffset): void {
    this.#replace(decodeRightsState(json));
  }

  onGap(_firstOffset: LogOffset): void {
    this.#recordsSinceGap = [];
    this.#replaceState(createRightsState());
  }

  #applyAfterGap(record: LogRecord): void {
    const records = this.#recordsSinceGap ?? [];
    records.push(record);
    if (parseRightsRecord(record.value)?.kind !== "snapshot") return;
    const rebuilt = rebuildFromSnapshot(records);
    if (rebuilt !== undefined) this.#replace(rebuilt);
  }

  #replace(state: RightsState): void {
    this.#recordsSinceGap = undefined;
    this.#replaceState(state);
  }

  #replaceState(state: RightsState): void {
    this.#state = state;
    this.#version++;
    this.#listener([]);
  }
}
