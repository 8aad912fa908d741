/**
 * Which daemons hold a part of the limits of the whole fleet. Parts must not
 * grow before what their former holders have used has left the window of every
 * limit, nor while a daemon that is not heard may still use its own.
 *
 * @module
 */

import type { VmId } from "@endivebend/types";

/**
 * A daemon that is silent may be cut off or paused, and keeps its part. One
 * that is silent for this long is taken as gone.
 */
const SILENT_TTL_MS = 3_600_000;

/** The other daemons among which limits are shared. */
export class LimitSharers {
  readonly #windowMs: number;
  readonly #untilMs = new Map<VmId, number>();

  /** The longest window over which a shared limit counts, in milliseconds. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** The daemon was listed or heard then. */
  add(vm: VmId, nowMs: number): void {
    this.#untilMs.set(vm, nowMs + SILENT_TTL_MS);
  }

  /** The daemon uses nothing from now on. */
  release(vm: VmId, nowMs: number): void {
    if (this.#untilMs.has(vm)) this.#untilMs.set(vm, nowMs + this.#windowMs);
  }

  /**
   * The other daemons that hold a part, or whose part is still used up.
   *
   * @example
   * ```ts
   * const part = limit / (sharers.others(nowMs).length + 1);
   * ```
   */
  others(nowMs: number): VmId[] {
    const holders: VmId[] = [];
    for (const [vm, untilMs] of this.#untilMs) {
      if (nowMs < untilMs) holders.push(vm);
      else this.#untilMs.delete(vm);
    }
    return holders;
  }
}
