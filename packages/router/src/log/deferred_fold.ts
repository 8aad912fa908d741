/**
 * A fold whose task is made after its follower.
 *
 * @module
 */

import type { LogOffset, LogRecord } from "@endivebend/types";
import type { StreamFold } from "../ports.ts";

/**
 * Follower and task need each other: the follower feeds the task's fold, and
 * the task appends through the follower. This stands between until both exist.
 */
export class DeferredFold implements StreamFold {
  #target: StreamFold | undefined;

  /** Sets the fold; call it before the follower starts. */
  attach(target: StreamFold): void {
    this.#target = target;
  }

  apply(record: LogRecord): void {
    this.#requireTarget().apply(record);
  }

  snapshot():
    | { readonly json: string; readonly offset: LogOffset }
    | undefined {
    return this.#requireTarget().snapshot?.();
  }

  restore(json: string, offset: LogOffset): void {
    this.#requireTarget().restore?.(json, offset);
  }

  isComplete(): boolean {
    return this.#requireTarget().isComplete?.() ?? true;
  }

  onGap(firstOffset: LogOffset): void {
    this.#requireTarget().onGap?.(firstOffset);
  }

  #requireTarget(): StreamFold {
    if (this.#target !== undefined) return this.#target;
    throw new Error("Attach the fold before the follower starts");
  }
}
