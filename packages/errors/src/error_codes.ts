/**
 * The error codes with their HTTP status, type and remedy.
 *
 * @module
 */

import type { ExecutionStatus } from "@endivebend/types";

/** How an error code is answered over HTTP, and what its reader should do. */
export interface ErrorDetail {
  readonly status: number;
  /** The `type` field that language-model client libraries expect. */
  readonly type: string;
  /** Whether the request ran; the code that throws may override it. */
  readonly ran: ExecutionStatus;
  /** What the caller or operator should do next. */
  readonly remedy: string;
}

/** Every error code with its HTTP status and remedy. */
export const ERROR_DETAILS = {
  malformed_request: {
    status: 400,
    type: "invalid_request_error",
    ran: "not_run",
    remedy: "Correct the named field and send the request again",
  },
  missing_key: {
    status: 401,
    type: "authentication_error",
    ran: "not_run",
    remedy: "Send the team's key in the header Authorization: Bearer KEY",
  },
  unknown_key: {
    status: 401,
    type: "authentication_error",
    ran: "not_run",
    remedy: "Ask an operator to grant a key to the team",
  },
  key_withdrawn: {
    status: 401,
    type: "authentication_error",
    ran: "not_run",
    remedy: "Ask an operator to grant a new key to the team",
  },
  not_permitted: {
    status: 403,
    type: "permission_error",
    ran: "not_run",
    remedy: "Ask an operator to add the service to the team's template",
  },
  unknown_route: {
    status: 404,
    type: "not_found_error",
    ran: "not_run",
    remedy: "Use a path that the team's template allows",
  },
  unknown_model: {
    status: 404,
    type: "not_found_error",
    ran: "not_run",
    remedy: "Use one of the models that GET /v1/models lists",
  },
  method_not_allowed: {
    status: 405,
    type: "invalid_request_error",
    ran: "not_run",
    remedy: "Use a method that the route allows",
  },
  request_timeout: {
    status: 408,
    type: "invalid_request_error",
    ran: "not_run",
    remedy: "Send the whole request within the time limit",
  },
  conflict: {
    status: 409,
    type: "conflict_error",
    ran: "not_run",
    remedy: "Read the current revision and base the change on it",
  },
  body_too_large: {
    status: 413,
    type: "invalid_request_error",
    ran: "not_run",
    remedy: "Shorten the body to the size limit and send the request again",
  },
  headers_too_large: {
    status: 431,
    type: "invalid_request_error",
    ran: "not_run",
    remedy: "Shorten the headers to the size limit and send the request again",
  },
  idempotency_key_required: {
    status: 400,
    type: "invalid_request_error",
    ran: "not_run",
    remedy: "Send a header Idempotency-Key, such as UNIX_SECONDS-RANDOM",
  },
  idempotency_key_expired: {
    status: 422,
    type: "invalid_request_error",
    ran: "not_run",
    remedy: "Look up whether the call ran, then send it under a new key",
  },
  idempotency_key_reused: {
    status: 422,
    type: "invalid_request_error",
    ran: "not_run",
    remedy: "Use a new Idempotency-Key for a different body",
  },
  rate_limited: {
    status: 429,
    type: "rate_limit_error",
    ran: "not_run",
    remedy: "Wait for Retry-After, or ask an operator for a higher rate",
  },
  queue_full: {
    status: 429,
    type: "rate_limit_error",
    ran: "not_run",
    remedy: "Wait for Retry-After and send fewer requests at once",
  },
  cost_exceeds_burst: {
    status: 400,
    type: "invalid_request_error",
    ran: "not_run",
    remedy:
      "Shorten the prompt or max_tokens, or ask an operator for a larger burst",
  },
  deadline_exceeded: {
    status: 503,
    type: "overloaded_error",
    ran: "not_run",
    remedy: "Wait for Retry-After and send the request again",
  },
  no_backend_server: {
    status: 503,
    type: "overloaded_error",
    ran: "not_run",
    remedy: "Wait for Retry-After; operators run endivebend status",
  },
  platform_unavailable: {
    status: 503,
    type: "overloaded_error",
    ran: "not_run",
    remedy: "Wait for Retry-After; operators check that the platform answers",
  },
  not_ready: {
    status: 503,
    type: "overloaded_error",
    ran: "not_run",
    remedy: "Send the request to another entry VM",
  },
  answer_not_kept: {
    status: 409,
    type: "conflict_error",
    ran: "ran",
    remedy: "Look up the result at the service; do not send the call again",
  },
  outcome_unknown: {
    status: 502,
    type: "api_error",
    ran: "unknown",
    remedy: "Look up whether the call ran before sending it under a new key",
  },
  backend_server_failed: {
    status: 502,
    type: "api_error",
    ran: "unknown",
    remedy: "Look up whether the call ran, or send a repeatable call again",
  },
  stream_incomplete: {
    status: 502,
    type: "api_error",
    ran: "ran",
    remedy: "Send the request again; the received part is not the whole answer",
  },
  operator_unauthorized: {
    status: 401,
    type: "authentication_error",
    ran: "not_run",
    remedy: "Send an operator key whose digest is in the settings",
  },
  peer_unauthorized: {
    status: 401,
    type: "authentication_error",
    ran: "not_run",
    remedy: "Set the same peers.sharedKey on every VM of the fleet",
  },
  invalid_settings: {
    status: 500,
    type: "api_error",
    ran: "not_run",
    remedy: "Run endivebend settings check FILE and correct each fault",
  },
  invalid_change: {
    status: 422,
    type: "invalid_request_error",
    ran: "not_run",
    remedy: "Correct the named field and propose the change again",
  },
  internal: {
    status: 500,
    type: "api_error",
    ran: "unknown",
    remedy: "Report the request id to an operator",
  },
} as const satisfies Record<string, ErrorDetail>;
