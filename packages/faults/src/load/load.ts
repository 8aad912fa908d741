/**
 * The callers' load: loops of streams, bookings and look-ups until it is
 * stopped.
 *
 * @module
 */

import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Team } from "../harness/operator.ts";
import { book, type Booking, lookUp, newBooking } from "./booking_call.ts";
import type { Outcome } from "./outcome.ts";
import { choosePrompt } from "./prompts.ts";
import type { Rotation } from "./rotation.ts";
import { callStream } from "./stream_call.ts";

/** How many callers do what. */
export interface LoadShape {
  readonly streams: number;
  readonly bookings: number;
  readonly lookups: number;
  /** Pause of a caller between two calls, in milliseconds. */
  readonly thinkMs: number;
  /** Attempts per booking under one key. */
  readonly maxBookingAttempts: number;
  /** Weights versions whose text is right. */
  readonly weightsVersions: readonly string[];
}

/** A load that keeps two small failure domains busy. */
export const DEFAULT_LOAD: LoadShape = {
  streams: 10,
  bookings: 5,
  lookups: 2,
  thinkMs: 20,
  maxBookingAttempts: 3,
  weightsVersions: ["w1"],
};

/** A running load. */
export class Load {
  readonly outcomes: Outcome[] = [];
  readonly bookings: Booking[] = [];
  readonly #rotation: Rotation;
  readonly #team: Team;
  readonly #shape: LoadShape;
  readonly #random: RandomGenerator;
  #loops: Promise<void>[] = [];
  #isStopped = false;
  #calls = 0;

  constructor(options: {
    readonly rotation: Rotation;
    readonly team: Team;
    readonly shape: LoadShape;
    readonly random: RandomGenerator;
  }) {
    this.#rotation = options.rotation;
    this.#team = options.team;
    this.#shape = options.shape;
    this.#random = options.random;
  }

  start(): void {
    const { streams, bookings, lookups } = this.#shape;
    this.#startLoops(streams, () => this.#stream());
    this.#startLoops(bookings, () => this.#book());
    this.#startLoops(lookups, () => this.#lookUp());
  }

  /** Begins no more calls; resolves when the running ones have ended. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#loops);
  }

  #startLoops(count: number, step: () => Promise<void>): void {
    for (let index = 0; index < count; index++) {
      this.#loops.push(this.#loop(step));
    }
  }

  async #loop(step: () => Promise<void>): Promise<void> {
    while (!this.#isStopped) {
      await step();
      await new Promise((resolve) => setTimeout(resolve, this.#shape.thinkMs));
    }
  }

  async #stream(): Promise<void> {
    const choice = choosePrompt(this.#random, ++this.#calls);
    const { weightsVersions } = this.#shape;
    this.outcomes.push(
      await callStream(this.#rotation, {
        team: this.#team,
        weightsVersions,
        ...choice,
      }),
    );
  }

  async #book(): Promise<void> {
    const booking = newBooking();
    this.bookings.push(booking);
    await book(this.#rotation, booking, {
      team: this.#team,
      maxAttempts: this.#shape.maxBookingAttempts,
    });
    this.outcomes.push(...booking.attempts);
  }

  async #lookUp(): Promise<void> {
    this.outcomes.push(await lookUp(this.#rotation, this.#team));
  }
}
