/**
 * A value that readers see only after a lag.
 *
 * @module
 */

interface Version<Value> {
  readonly atMs: number;
  readonly value: Value;
}

/** Keeps past versions of a value to serve the one of `lagMs` ago. */
export class LaggingValue<Value> {
  #versions: Version<Value>[];
  lagMs: number;

  constructor(first: Value, lagMs: number) {
    this.#versions = [{ atMs: -Infinity, value: first }];
    this.lagMs = lagMs;
  }

  /** The value as it is now, without the lag. */
  current(): Value {
    return this.#versions[this.#versions.length - 1]!.value;
  }

  /** The value that readers get at a moment. */
  visible(nowMs: number): { readonly asOfMs: number; readonly value: Value } {
    const asOfMs = nowMs - this.lagMs;
    return { asOfMs, value: this.#versions[this.#shownIndex(asOfMs)]!.value };
  }

  set(value: Value, nowMs: number): void {
    this.#versions.push({ atMs: nowMs, value });
    const shown = this.#shownIndex(nowMs - this.lagMs);
    if (shown > 0) this.#versions.splice(0, shown);
  }

  #shownIndex(asOfMs: number): number {
    const index = this.#versions.findLastIndex((past) => past.atMs <= asOfMs);
    return Math.max(0, index);
  }
}
