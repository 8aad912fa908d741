/**
 * Lets callers that wait for the same read share it.
 *
 * @module
 */

/** Reads at most once at a time; every caller gets a read begun after it asked. */
export class SharedReads<Result> {
  readonly #run: () => Promise<Result>;
  #running: Promise<Result> | undefined;
  #next: Promise<Result> | undefined;

  constructor(run: () => Promise<Result>) {
    this.#run = run;
  }

  /** Resolves with a read that begins now, or once the running one has ended. */
  read(): Promise<Result> {
    if (this.#running === undefined) return this.#begin();
    this.#next ??= this.#running.then(() => this.#begin(), () => this.#begin());
    return this.#next;
  }

  #begin(): Promise<Result> {
    this.#next = undefined;
    const running = this.#run().finally(() => {
      if (this.#running === running) this.#running = undefined;
    });
    this.#running = running;
    return running;
  }
}
