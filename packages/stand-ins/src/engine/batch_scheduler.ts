/**
 * Continuous batching: each step admits waiting sequences, spends the time of
 * their prefill and of one decode step, and gives each running sequence a token.
 *
 * @module
 */

/** One request inside the engine. */
export interface Sequence {
  readonly requestId: string;
  /** Smaller is admitted sooner. */
  readonly priority: number;
  /** Tokens that are still to be prefilled were it admitted now. */
  readonly promptTokens: number;
  /** Takes a batch slot; returns how many tokens must be prefilled. */
  begin(): number;
  /** True while the reader takes no more bytes. */
  isBlocked(): boolean;
  /** Emits the next token; true when it was the last. */
  emitToken(): boolean;
  /** The engine gave the sequence up. */
  abort(): void;
}

/** Times of the engine's work. */
export interface BatchTimes {
  maxBatch: number;
  /** Microseconds per prompt token that is not cached. */
  prefillUsPerToken: number;
  /** Milliseconds per decode step of a batch of one. */
  decodeMsPerToken: number;
  /** Growth of the decode step per further sequence, as a share. */
  decodeBatchGrowth: number;
}

/** A step that is late by more than this is not caught up with. */
const LARGEST_DEBT_MS = 50;
/** Shorter waits are below the resolution of timers. */
const SHORTEST_TIMER_MS = 1;
/** How often readers that take no more bytes are looked at again. */
const BLOCKED_POLL_MS = 5;

/** Runs sequences of one engine. */
export class BatchScheduler {
  readonly #times: BatchTimes;
  #waiting: Sequence[] = [];
  #running: Sequence[] = [];
  #isStepPlanned = false;
  #isAdmitting = true;
  #dueMs = 0;
  #isIdle = true;
  #onIdle: (() => void) | undefined;
  /** Called when the numbers of waiting or running sequences change. */
  onChange: () => void = () => {};

  constructor(times: BatchTimes) {
    this.#times = times;
  }

  get runningCount(): number {
    return this.#running.length;
  }

  get waitingCount(): number {
    return this.#waiting.length;
  }

  get waitingTokens(): number {
    return this.#waiting.reduce((sum, next) => sum + next.promptTokens, 0);
  }

  add(sequence: Sequence): void {
    const index = this.#waiting.findIndex((other) =>
      other.priority > sequence.priority
    );
    const at = index === -1 ? this.#waiting.length : index;
    this.#waiting.splice(at, 0, sequence);
    this.onChange();
    this.#planStep();
  }

  /** Forgets a sequence whose reader is gone; false when it is not here. */
  remove(sequence: Sequence): boolean {
    const count = this.#waiting.length + this.#running.length;
    this.#waiting = this.#waiting.filter((other) => other !== sequence);
    this.#running = this.#running.filter((other) => other !== sequence);
    this.#afterRemoval();
    return this.#waiting.length + this.#running.length < count;
  }

  /** Aborts every sequence of a request; returns how many there were. */
  cancel(requestId: string): number {
    const cancelled = [...this.#waiting, ...this.#running]
      .filter((sequence) => sequence.requestId === requestId);
    for (const sequence of cancelled) {
      this.remove(sequence);
      sequence.abort();
    }
    return cancelled.length;
  }

  /** Gives everything up, as a crash does. */
  clear(): void {
    this.#waiting = [];
    this.#running = [];
    this.#afterRemoval();
  }

  /** Admits nothing until `resume`; resolves when no sequence runs. */
  pauseUntilIdle(): Promise<void> {
    this.#isAdmitting = false;
    if (this.#running.length === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#onIdle = resolve;
    });
  }

  resume(): void {
    this.#isAdmitting = true;
    this.#planStep();
  }

  #afterRemoval(): void {
    this.onChange();
    if (this.#running.length > 0) return;
    this.#onIdle?.();
    this.#onIdle = undefined;
  }

  #planStep(): void {
    const canAdmit = this.#isAdmitting && this.#waiting.length > 0;
    if (this.#isStepPlanned) return;
    if (this.#running.length === 0 && !canAdmit) {
      this.#isIdle = true;
      return;
    }
    this.#isStepPlanned = true;
    // Sequences that arrive in the same turn share their first step.
    setImmediate(() => this.#beginStep());
  }

  #beginStep(): void {
    const stepMs = Math.max(
      this.#admit() + this.#decodeMs(),
      this.#running.every((one) => one.isBlocked()) ? BLOCKED_POLL_MS : 0,
    );
    const nowMs = performance.now();
    const earliestMs = this.#isIdle ? nowMs : nowMs - LARGEST_DEBT_MS;
    this.#isIdle = false;
    this.#dueMs = Math.max(this.#dueMs, earliestMs) + stepMs;
    const waitMs = this.#dueMs - nowMs;
    if (waitMs < SHORTEST_TIMER_MS) this.#endStep();
    else setTimeout(() => this.#endStep(), waitMs).unref();
  }

  #admit(): number {
    let prefillMs = 0;
    let admitted = 0;
    while (
      this.#isAdmitting && this.#waiting.length > 0 &&
      this.#running.length < this.#times.maxBatch
    ) {
      const sequence = this.#waiting.shift()!;
      this.#running.push(sequence);
      prefillMs += sequence.begin() * this.#times.prefillUsPerToken / 1000;
      admitted++;
    }
    if (admitted > 0) this.onChange();
    return prefillMs;
  }

  #decodeMs(): number {
    const { decodeMsPerToken, decodeBatchGrowth } = this.#times;
    const others = Math.max(0, this.#running.length - 1);
    return decodeMsPerToken * (1 + decodeBatchGrowth * others);
  }

  #endStep(): void {
    this.#isStepPlanned = false;
    const finished = this.#running.filter((sequence) =>
      !sequence.isBlocked() && sequence.emitToken()
    );
    if (finished.length > 0) {
      this.#running = this.#running.filter((one) => !finished.includes(one));
      this.#afterRemoval();
    }
    this.#planStep();
  }
}
