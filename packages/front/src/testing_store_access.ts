/**
 * Calls of one simulated daemon to the store.
 *
 * @module
 */

import type { Scheduler } from "@endivebend/clock";

/** What calls meet without the store: an error at once, or no answer. */
export type StoreCutForm = "turned_away" | "silent";

/** Time that a call waits for an answer, beside the time the store may hold. */
const CALL_TIMEOUT_MS = 1_000;
const REFUSAL_MS = 4;

interface OpenCall {
  readonly timeoutAtMs: number;
  readonly fail: () => void;
}

/** A daemon's way to the store, which can be cut. */
export class StoreAccess {
  readonly #time: Scheduler & { readonly nowMs: number };
  readonly #openCalls = new Set<OpenCall>();
  #cut: StoreCutForm | undefined;
  #hasFailed = false;
  #hasEnded = false;

  constructor(time: Scheduler & { readonly nowMs: number }) {
    this.#time = time;
  }

  /** Whether the store answered the last call. */
  get isReachable(): boolean {
    return !this.#hasFailed;
  }

  /** Loses the answers of open calls as well. */
  cutOff(form: StoreCutForm): void {
    this.#cut = form;
    for (const call of this.#openCalls) this.#failLater(form, call);
    this.#openCalls.clear();
  }

  heal(): void {
    this.#cut = undefined;
  }

  /** The daemon has ended and gets no more answers. */
  end(): void {
    this.#hasEnded = true;
    this.#openCalls.clear();
  }

  /** Makes a call that the store may hold for `holdMs`. */
  call<T>(run: () => Promise<T>, { holdMs = 0 } = {}): Promise<T> {
    return new Promise((resolve, reject) => {
      if (this.#hasEnded) return;
      const call = {
        timeoutAtMs: this.#time.nowMs + holdMs + CALL_TIMEOUT_MS,
        fail: () => {
          if (this.#hasEnded) return;
          this.#hasFailed = true;
          reject(new Error("The store does not answer this daemon"));
        },
      };
      if (this.#cut !== undefined) return this.#failLater(this.#cut, call);
      this.#openCalls.add(call);
      run().then((result) => {
        if (!this.#openCalls.delete(call)) return;
        this.#hasFailed = false;
        resolve(result);
      }, (caught) => {
        if (this.#openCalls.delete(call)) reject(caught);
      });
    });
  }

  #failLater(form: StoreCutForm, { timeoutAtMs, fail }: OpenCall): void {
    const delayMs = form === "silent"
      ? timeoutAtMs - this.#time.nowMs
      : REFUSAL_MS;
    this.#time.after(delayMs, fail);
  }
}
