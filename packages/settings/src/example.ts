/**
 * An example of a settings file, with comments.
 *
 * @module
 */

/** The example that `endivebend settings example` prints; it is valid. */
export const SETTINGS_EXAMPLE = `{
  // The id of this VM, as the platform's VM list names it.
  "vmId": "entry-1",
  "failureDomain": "qld-east-a",
  "fleet": {
    // All failure domains; each gets an equal share of a team's rate.
    "failureDomains": ["qld-east-a", "qld-east-b", "qld-east-c"],
    "region": "qld-east",
  },
  // Hosts are IP addresses. Port 0 takes any free port.
  "listen": {
    "callers": { "host": "127.0.0.1", "port": 7001 },
    "operators": { "host": "127.0.0.1", "port": 7002 },
    "peers": { "host": "127.0.0.1", "port": 7003 },
    // Each listener takes "tls": { "certFile", "keyFile", "caFile" }.
  },
  // Addresses that others use, where they differ from the listeners'.
  "advertise": {},
  "platform": {
    "address": "127.0.0.1:7100",
    // Timeout of one call, excluding the wait of a long poll.
    "timeoutMs": 2000,
    "pollWaitMs": 5000,
    // Retention of a record in the platform's log; snapshots are due at half.
    "logRetentionMs": 86400000,
  },
  "peers": {
    // At least 32 characters, the same on every VM of the fleet.
    "sharedKey": "replace-this-with-32-or-more-random-characters",
    // Peer listeners that are asked when the platform does not answer.
    "addresses": [
      { "vmId": "entry-2", "address": "127.0.0.1:7013", "failureDomain": "qld-east-b" },
    ],
    "exchangeIntervalMs": 500,
    "timeoutMs": 1000,
  },
  "operators": {
    "keys": [
      // SHA-256 of the operator key "operator-example-key". Replace it:
      //   printf %s "$OPERATOR_KEY" | sha256sum
      {
        "name": "first-operator",
        "sha256": "6352ac486f707cbdef588a99b63730339b0337838c0503a8eac997d35eb47cf9",
      },
    ],
  },
  // Every limit has a default; these are the defaults.
  "limits": {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 8388608,
    "maxConnections": 10000,
    "requestTimeoutMs": 300000,
    "headersTimeoutMs": 10000,
    // How long a request waits for tokens and for an engine before it is refused.
    "queueWaitMs": 10000,
    // Tokens of a completion whose caller names no max_tokens.
    "defaultMaxTokens": 256,
    // A stream without progress for this long is resumed on a new connection.
    "streamProgressMs": 5000,
    // How long the listener stays open after /readyz fails in a drain.
    "drainGraceMs": 5000,
    "loanLeaseMs": 1000,
    // The part of a failure domain's share that is never lent to another domain.
    "floorFraction": 0,
  },
  // debug, info, warn, error or silent.
  "log": { "level": "info" },
  // Optional: counters over UDP in the StatsD format.
  // "metrics": { "address": "127.0.0.1:8125", "prefix": "endivebend" },
  // Optional: spans over OTLP/HTTP.
  // "traces": { "otlpAddress": "127.0.0.1:4318", "sampleRatio": 0.01 },
}
`;
