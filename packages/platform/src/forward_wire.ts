/**
 * Headers with which daemons forward requests to each other. They stand beside
 * those of the platform, which are sent on as they are.
 *
 * @module
 */

/** Names in lower case. */
export const FORWARD_HEADERS = {
  /** Id and address of the server that the request is for. */
  server: "endivebend-server",
  address: "endivebend-address",
  /** Milliseconds in which the server must have begun, where it must. */
  beginIn: "endivebend-begin-in-ms",
  /** Start of the only process that may get the request, in Unix ms. */
  expectedStart: "endivebend-expected-start",
  /** `unsent` or `broken` in place of an answer; see `AttemptFailure`. */
  outcome: "endivebend-outcome",
  reason: "endivebend-reason",
  /** "1" when the daemon that forwards has failed, not the server. */
  ownFault: "endivebend-own-fault",
  /** "1" when the answer ended with its connection and had no length. */
  unframed: "endivebend-unframed",
} as const;

const NAMES: ReadonlySet<string> = new Set(Object.values(FORWARD_HEADERS));

/** Whether only daemons may set the header, which is given in lower case. */
export function isForwardHeader(name: string): boolean {
  return NAMES.has(name);
}
