/**
 * Names of the platform's headers and paths, in the lower case that Node.js
 * gives them.
 *
 * @module
 */

/** Headers of requests and answers. */
export const HEADERS = {
  /** The id of one attempt of a client; engines echo it. */
  requestId: "attempt-id",
  /** Milliseconds that the client, or the router, still waits. */
  timeLeft: "deadline-ms",
  /** The prompt's parts, as ID:TOKENS. */
  prompt: "prompt-prefix",
  resumeAfter: "last-event-id",
  /** The engine's signature of an answer. */
  proof: "response-seal",
  team: "tenant",
  expectedServer: "expect-instance",
  serverId: "instance-id",
  /** Running, waiting, slots. */
  load: "server-load",
  notRun: "not-run",
  retryAfter: "retry-after",
  model: "model",
  /** Prompt tokens and most output tokens. */
  tokens: "token-usage",
  cacheSalt: "cache-salt",
  urgency: "request-priority",
  expectedWeights: "expect-version",
  authorization: "authorization",
} as const;

/** Set by the system alone; what a client sends under these is dropped. */
export const SYSTEM_HEADERS: ReadonlySet<string> = new Set([
  HEADERS.team,
  HEADERS.expectedServer,
  HEADERS.cacheSalt,
  HEADERS.urgency,
  HEADERS.expectedWeights,
  HEADERS.timeLeft,
  HEADERS.authorization,
  "kv-fetch",
  "kv-save",
  "kv-from",
  "kv-backup",
  "pin-ms",
  "hold",
]);

/** Headers that concern one connection only. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

/** The authorization scheme of keys. */
export const KEY_SCHEME = "Token ";

/** Paths that the daemon serves or calls. */
export const PATHS = {
  ready: "/api/ready",
  report: "/api/report",
  order: "/api/order",
  cacheEvents: "/api/kv-events",
} as const;

/** Copies raw headers without those that `isDropped` names. */
export function filterHeaders(
  rawHeaders: readonly string[],
  isDropped: (lowerCaseName: string) => boolean,
): string[] {
  const connectionNames = connectionOptions(rawHeaders);
  const forwarded: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!;
    const lowerCaseName = name.toLowerCase();
    const isHopByHop = HOP_BY_HOP_HEADERS.has(lowerCaseName) ||
      connectionNames.has(lowerCaseName);
    if (isHopByHop || isDropped(lowerCaseName)) continue;
    forwarded.push(name, rawHeaders[index + 1]!);
  }
  return forwarded;
}

/** Headers that the sender's `Connection` header declares its own. */
function connectionOptions(rawHeaders: readonly string[]): Set<string> {
  const options = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() !== "connection") continue;
    for (const option of rawHeaders[index + 1]!.split(",")) {
      options.add(option.trim().toLowerCase());
    }
  }
  return options;
}
