/**
 * Encodes answers of services for the log and decodes them.
 *
 * @module
 */

import type { CommitmentOutcome } from "@endivebend/commitments";
import type { ServiceAnswer } from "../ports.ts";

/** Headers that belong to one connection and are not replayed. */
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
 * Encodes an answer for the log. An answer larger than `maxBytes`, headers
 * included, is never truncated: only its status is recorded then.
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

/** Decodes an answer from its record in the log. */
export function decodeAnswer(
  outcome: Extract<CommitmentOutcome, { result: "answered" }>,
): ServiceAnswer {
  const { status, headers, bodyBase64 } = outcome;
  return { status, headers, body: Buffer.from(bodyBase64, "base64") };
}
