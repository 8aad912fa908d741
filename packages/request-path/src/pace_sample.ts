/**
 * What one attempt tells of its server's pace. Only attempts whose time is the
 * server's own count: not those of a replacement, or through another VM.
 *
 * @module
 */

import type { ServerPace } from "./server_pace.ts";
import type { SpeedObservation } from "./speed_estimate.ts";
import type { RouteName } from "./types.ts";

/** What an attempt asks of its server. */
export interface SentWork {
  readonly route: RouteName;
  /** Prompt tokens to read before the first event; undefined for a call. */
  readonly tokensToRead: number | undefined;
  /** Whether its time will not be the server's own. */
  readonly isSpoiled: boolean;
}

/** Receives the steps of a sample. */
export interface PaceObserver {
  begun(sample: PaceSample, nowMs: number): void;
  ended(sample: PaceSample, nowMs: number): void;
}

interface SampleOptions extends SentWork {
  readonly sentAtMs: number;
  /** Prompt tokens of other requests there, as known at the sending. */
  readonly tokensAhead: number;
  readonly runningAhead: number;
  readonly pace: ServerPace;
  /** The server's own figure in percent, if it was fresh at the sending. */
  readonly figure: number | undefined;
  readonly observer: PaceObserver;
}

/** Reading fewer tokens takes no longer than what else happens meanwhile. */
const MIN_TOKENS = 1_500;
/** With more ahead, the sample would tell more of others' work. */
const MIN_OWN_SHARE = 0.3;
/** Ways there and back, and a step of the engine. */
const FIXED_MS = 8;
const MIN_READ_MS = 2;
/** Figures that differ by more show that the pace changed meanwhile. */
const SAME_FIGURE = 1.25;
/** An answer this late shows that the server has more than it can take. */
const SLOW_FACTOR = 2;
const SLOW_MS = 50;

/** One attempt, from its sending. */
export class PaceSample {
  readonly sentAtMs: number;
  readonly pace: ServerPace;
  readonly #options: SampleOptions;
  #isSpoiled: boolean;
  #hasBegun = false;

  constructor(options: SampleOptions) {
    this.sentAtMs = options.sentAtMs;
    this.pace = options.pace;
    this.#options = options;
    this.#isSpoiled = options.isSpoiled;
  }

  /** Whether it tells how long a prompt took. */
  get isOfPrompt(): boolean {
    return !this.#isSpoiled && this.#options.tokensToRead !== undefined;
  }

  /** Its time from now on is not the server's own. */
  spoil(): void {
    this.#isSpoiled = true;
  }

  /** Part of the answer has come. */
  progressed(nowMs: number): void {
    if (this.#hasBegun) return;
    this.#hasBegun = true;
    this.#options.observer.begun(this, nowMs);
  }

  /** The answer is complete. */
  ended(nowMs: number): void {
    if (!this.#isSpoiled) this.#options.observer.ended(this, nowMs);
  }

  /** The first event after the time that was expected, or before it. */
  waitErrorMs(nowMs: number): number {
    return Math.abs(nowMs - this.sentAtMs - this.#expectedMs());
  }

  /** Whether the first event came much later than expected. */
  isSlowAt(nowMs: number): boolean {
    const limitMs = SLOW_FACTOR * this.#expectedMs() + SLOW_MS;
    return nowMs - this.sentAtMs > limitMs;
  }

  #expectedMs(): number {
    const { tokensAhead, tokensToRead = 0, pace } = this.#options;
    return FIXED_MS + (tokensAhead + tokensToRead) / pace.queueTokensPerMs;
  }

  /** The speed at which the prompt was read; undefined when it doesn't tell. */
  speedAt(
    nowMs: number,
    { usualTokensPerMs, figure }: {
      readonly usualTokensPerMs: number;
      /** The figure in percent that came with the answer. */
      readonly figure: number | undefined;
    },
  ): SpeedObservation | undefined {
    const { tokensAhead, tokensToRead = 0 } = this.#options;
    const ownShare = tokensToRead / (tokensToRead + tokensAhead);
    const isMeasurable = !this.#isSpoiled && tokensToRead >= MIN_TOKENS &&
      ownShare >= MIN_OWN_SHARE && this.#hasSteadyFigure(figure);
    if (!isMeasurable) return undefined;
    const readMs = Math.max(MIN_READ_MS, nowMs - this.sentAtMs - FIXED_MS);
    const tokensPerMs = (tokensAhead + tokensToRead) / readMs;
    const slowdown = (figure ?? 100) / 100;
    const speed = tokensPerMs / usualTokensPerMs * slowdown;
    return { speed, weight: ownShare, atMs: nowMs };
  }

  /** Without a figure before, a usual one after is taken as steady. */
  #hasSteadyFigure(after: number | undefined): boolean {
    if (after === undefined) return true;
    const before = this.#options.figure ?? 100;
    return after > 0 && before > 0 &&
      Math.abs(Math.log(after / before)) < Math.log(SAME_FIGURE);
  }

  /** The time of a call that found a free slot. */
  callAt(nowMs: number, { slots }: { readonly slots: number }) {
    const { route, tokensToRead, runningAhead } = this.#options;
    const isCall = tokensToRead === undefined && runningAhead < slots;
    if (!isCall) return undefined;
    const durationMs = Math.max(1, nowMs - this.sentAtMs);
    return { route, durationMs, weight: 1 };
  }
}
