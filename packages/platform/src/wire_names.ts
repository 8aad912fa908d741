/**
 * Names of the platform's headers and paths. Header names are in lower case, as
 * Node.js delivers them.
 *
 * @module
 */

/** Headers of requests and answers. */
export const HEADERS = {
  /** Id of one request of a client; engines echo it. */
  requestId: "attempt-id",
  /** Milliseconds that the sender, a client or the router, still waits. */
  timeLeft: "deadline-ms",
  /** The prompt's segments as `ID:TOKENS`, separated by commas. */
  prompt: "prompt-prefix",
  resumeAfter: "last-event-id",
  /** Id of the request that brought the first event of the resumed stream. */
  resumes: "resumes",
  /** The backend server's signature of an answer. */
  proof: "response-seal",
  team: "tenant",
  expectedServer: "expect-instance",
  serverId: "instance-id",
  /** A server's load as `RUNNING,WAITING,SLOTS` or with `,PERCENT`. */
  load: "server-load",
  /** Requests a second that a server takes from all callers together. */
  limit: "server-limit",
  /** Rejections a second that a brittle server bears. */
  brittle: "server-brittle",
  notRun: "not-run",
  /** "1" in all answers of a server that is leaving. */
  leaving: "server-leaving",
  retryAfter: "retry-after",
  model: "model",
  /** `PROMPT_TOKENS,MAX_OUTPUT_TOKENS`. */
  tokens: "token-usage",
  cacheSalt: "cache-salt",
  urgency: "request-priority",
  expectedWeights: "expect-version",
  /** The version of its model that an engine has. */
  weights: "weight-versions",
  authorization: "authorization",
  /** How often the store has come back from a copy of an earlier state. */
  storeEra: "store-era",
} as const;

/** Headers that only the router sets; a client's values are dropped. */
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

/** Headers that apply to one connection and are not forwarded. */
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

/** The scheme before a team's key in the `Authorization` header. */
export const KEY_SCHEME = "Token ";

/** Paths that the daemon serves or calls. */
export const PATHS = {
  ready: "/api/ready",
  report: "/api/report",
  order: "/api/order",
  cacheEvents: "/api/kv-events",
  /** The router's own, for operators. */
  explainRoute: "/explain-route",
} as const;

/**
 * Copies raw headers, a flat list of names and values, without hop-by-hop
 * headers and those for which `isDropped` returns true.
 */
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

/** Header names that the `Connection` header lists as hop-by-hop. */
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
