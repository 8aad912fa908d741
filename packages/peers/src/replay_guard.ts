/**
 * Takes each call's number once.
 *
 * @module
 */

import { CREDENTIAL_WINDOW_MS, type VerifiedCall } from "./credential.ts";

/**
 * Numbers that may be overtaken by later ones of the same client, over all the
 * daemons that it calls; a call that is overtaken by more is refused.
 */
const WINDOW_SIZE = 65_536;
/** A credential is too old to be taken after this time, whatever its number. */
const KEPT_MS = 2 * CREDENTIAL_WINDOW_MS;

/** Which of the latest numbers of one client were used. */
class NumberWindow {
  readonly #used = new Uint8Array(WINDOW_SIZE);
  #highest = -1;
  lastUsedMs = 0;

  take(sequence: number): boolean {
    if (!Number.isSafeInteger(sequence) || sequence < 0) return false;
    if (sequence <= this.#highest - WINDOW_SIZE) return false;
    this.#advance(sequence);
    const place = sequence % WINDOW_SIZE;
    if (this.#used[place] === 1) return false;
    this.#used[place] = 1;
    return true;
  }

  #advance(sequence: number): void {
    if (sequence <= this.#highest) return;
    if (sequence - this.#highest >= WINDOW_SIZE) {
      this.#used.fill(0);
    } else {
      for (let next = this.#highest + 1; next <= sequence; next++) {
        this.#used[next % WINDOW_SIZE] = 0;
      }
    }
    this.#highest = sequence;
  }
}

/**
 * Refuses a credential that was used before at this daemon. Only credentials
 * with a valid MAC may be given to it, so that nobody else can fill it.
 *
 * @example
 * ```ts
 * const guard = new ReplayGuard();
 * if (!guard.take(verified, Date.now())) refuse();
 * ```
 */
export class ReplayGuard {
  readonly #windows = new Map<string, NumberWindow>();
  #sweptAtMs = 0;

  /** True for the first use. */
  take(call: VerifiedCall, nowMs: number): boolean {
    this.#sweep(nowMs);
    const id = `${call.vmId}/${call.clientId}`;
    let window = this.#windows.get(id);
    if (window === undefined) {
      window = new NumberWindow();
      this.#windows.set(id, window);
    }
    window.lastUsedMs = nowMs;
    return window.take(call.sequence);
  }

  #sweep(nowMs: number): void {
    if (Math.abs(nowMs - this.#sweptAtMs) < KEPT_MS) return;
    this.#sweptAtMs = nowMs;
    for (const [id, window] of this.#windows) {
      if (nowMs - window.lastUsedMs > KEPT_MS) this.#windows.delete(id);
    }
  }
}
