/**
 * Prints what happened and keeps count of what came out otherwise.
 *
 * @module
 */

/** One stated outcome. */
export interface Outcome {
  readonly step: string;
  readonly happened: string;
  readonly isAsStated: boolean;
}

/** Collects outcomes. */
export class Report {
  readonly #outcomes: Outcome[] = [];

  /** Prints an outcome. */
  add(outcome: Outcome): void {
    this.#outcomes.push(outcome);
    const mark = outcome.isAsStated ? "ok  " : "MISS";
    console.log(`${mark} ${outcome.step}: ${outcome.happened}`);
  }

  /** Prints the count and gives the exit code. */
  finish(): number {
    const misses = this.#outcomes.filter((outcome) => !outcome.isAsStated);
    const total = this.#outcomes.length;
    console.log(`${total - misses.length} of ${total} steps as stated`);
    return misses.length === 0 ? 0 : 1;
  }
}
