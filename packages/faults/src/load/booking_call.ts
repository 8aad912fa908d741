/**
 * Bookings, which must run at most once, and look-ups.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { Dispatcher } from "undici";
import type { Team } from "../harness/operator.ts";
import { type Ending, type Outcome, readRefusal } from "./outcome.ts";
import type { Rotation, Target } from "./rotation.ts";
import { sendCall } from "./send.ts";

/** A booking and every attempt to make it. */
export interface Booking {
  /** Stands in the body, so that its runs can be found in the record. */
  readonly token: string;
  readonly key: string;
  readonly attempts: Outcome[];
}

/** How a booking is made. */
export interface BookingOptions {
  readonly team: Team;
  /** Attempts under the same key until one is answered. */
  readonly maxAttempts: number;
}

const REPEAT_DELAY_MS = 200;

/** A new booking with a key that carries the time. */
export function newBooking(): Booking {
  const token = randomUUID();
  const seconds = Math.floor(Date.now() / 1000);
  return { token, key: `${seconds}-${randomUUID()}`, attempts: [] };
}

/** Books, and repeats under the same key as a careful caller does. */
export async function book(
  rotation: Rotation,
  booking: Booking,
  options: BookingOptions,
): Promise<void> {
  for (let attempt = 0; attempt < options.maxAttempts; attempt++) {
    const outcome = await bookOnce(rotation, booking, options);
    if (outcome.kind === "answered" || outcome.kind === "corrupt") return;
    await new Promise((resolve) => setTimeout(resolve, REPEAT_DELAY_MS));
  }
}

/** One attempt, at any daemon or at a given one. */
export async function bookOnce(
  rotation: Rotation,
  booking: Booking,
  options: { readonly team: Team; readonly target?: Target },
): Promise<Outcome> {
  const outcome = await sendCall(rotation, {
    call: "booking",
    method: "POST",
    path: "/bookings",
    headers: {
      authorization: `Bearer ${options.team.key}`,
      "content-type": "application/json",
      "idempotency-key": booking.key,
    },
    body: JSON.stringify({ token: booking.token }),
    target: options.target,
    read: (answer) => readBooking(answer, booking.token),
  });
  booking.attempts.push(outcome);
  return outcome;
}

/** Looks up the bookings, which any number of repeats may do. */
export function lookUp(rotation: Rotation, team: Team): Promise<Outcome> {
  return sendCall(rotation, {
    call: "lookup",
    method: "GET",
    path: "/bookings/none",
    headers: { authorization: `Bearer ${team.key}` },
    read: readLookUp,
  });
}

async function readBooking(
  { statusCode, headers, body }: Dispatcher.ResponseData,
  token: string,
): Promise<Ending> {
  const text = await body.text();
  const requestId = String(headers["x-request-id"]);
  if (statusCode !== 201) {
    return { kind: "refused", requestId, ...readRefusal(text) };
  }
  // The service repeats the body that it booked.
  const kind = text.includes(token) ? "answered" : "corrupt";
  return { kind, requestId };
}

async function readLookUp(
  { statusCode, body }: Dispatcher.ResponseData,
): Promise<Ending> {
  const text = await body.text();
  // The service's own 404 is the whole answer; a refusal names a code.
  const refusal = readRefusal(text);
  const isAnswer = statusCode === 404 && refusal.code === undefined;
  return isAnswer ? { kind: "answered" } : { kind: "refused", ...refusal };
}
