/**
 * The limit on appends per second.
 *
 * @module
 */

/** A token bucket that holds one second's worth of appends. */
export class AppendRate {
  #level: number;
  #atMs = 0;
  perSecond: number;

  constructor(perSecond: number) {
    this.perSecond = perSecond;
    this.#level = perSecond;
  }

  /** Takes one append; false when the rate is exhausted. */
  take(nowMs: number): boolean {
    if (!Number.isFinite(this.perSecond)) return true;
    const gained = (nowMs - this.#atMs) * this.perSecond / 1000;
    this.#level = Math.min(this.perSecond, this.#level + gained);
    this.#atMs = nowMs;
    if (this.#level < 1) return false;
    this.#level -= 1;
    return true;
  }
}
