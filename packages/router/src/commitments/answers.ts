/**
 * Answers of services as they stand in the log.
 *
 * @module
 */

import type { CommitmentOutcome } from "@endivebend/commitments";
import type { ServiceAnswer } from "../ports.ts";

/** Headers of one connection, which mean nothing in a repeated answer. */
const CONNECTION_HEADERS = new Set([
  "connection",
  "content-length",
  "keep-alive",
  "proxy-authenticate",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/**
 * The record of an answer. An answer over the bound is never cut: then only
 * its status is kept, and that the call ran.
 */
export function encodeAnswer(
  answer: ServiceAnswer,
  maxBytes: number,
): CommitmentOutcome {
  const headers = Object.fromEntries(
    Object.entries(answer.headers).filter(([name]) =>
      !CONNECTION_HEADERS.has(name.toLowerCase())
    ),
  );
  const headerBytes = JSON.stringify(headers).length;
  const { status } = answer;
  if (answer.body.length + headerBytes > maxBytes) {
    return { result: "answer_not_kept", status };
  }
  const bodyBase64 = answer.body.toString("base64");
  return { result: "answered", status, headers, bodyBase64 };
}

/** The answer that {@link encodeAnswer} recorded. */
export function decodeAnswer(
  outcome: Extract<CommitmentOutcome, { result: "answered" }>,
): ServiceAnswer {
  const { status, headers, bodyBase64 } = outcome;
  return { status, headers, body: Buffer.from(bodyBase64, "base64") };
}
