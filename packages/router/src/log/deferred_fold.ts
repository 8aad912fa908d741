/**
 * A stream fold whose target is set after its follower was created.
 *
 * @module
 */

import type { LogOffset, LogRecord } from "@endivebend/types";
import type { StreamFold } from "../ports.ts";

/**
 * Forwards to a fold that is attached later. A follower and its task depend on
 * each other: the follower applies records to the task's fold, and the task
 * appends through the follower.
 */
export class DeferredFold implements StreamFold {
  #target: StreamFold | undefined;

  /** Sets the target; call it before the follower starts. */
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
    throw new Error("No fold attached; attach one before the follower starts");
  }
}
