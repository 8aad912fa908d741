/**
 * Single HTTP calls to the platform. Failures are classified by whether the
 * platform may have executed the call.
 *
 * @module
 */

import { type Dispatcher, errors } from "undici";

/** An HTTP answer, whatever its status. */
export interface HttpAnswer {
  readonly kind: "answer";
  readonly status: number;
  readonly retryAfterMs: number | undefined;
  readonly text: string;
}

/** A call that got no answer. */
export interface HttpFailure {
  /**
   * `refused`: the call was not sent. `lost`: the platform may have executed
   * it.
   */
  readonly kind: "refused" | "lost";
  readonly reason: string;
}

/** One HTTP call; `timeoutMs` covers it from connecting to the answer's end. */
export interface HttpCall {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: string;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal | undefined;
}

/** Errors of connecting, after which the call was certainly not sent. */
const CONNECT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "ENOTFOUND",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Sends the call once, without retries; never throws. */
export async function callPlatform(
  dispatcher: Dispatcher,
  call: HttpCall,
): Promise<HttpAnswer | HttpFailure> {
  if (call.signal?.aborted) {
    return {
      kind: "refused",
      reason: "The call was aborted before it was sent",
    };
  }
  const timeout = AbortSignal.timeout(call.timeoutMs);
  const signal = call.signal === undefined
    ? timeout
    : AbortSignal.any([timeout, call.signal]);
  try {
    return await send(dispatcher, { ...call, signal });
  } catch (caught) {
    return describeFailure(caught, timeout);
  }
}

async function send(
  dispatcher: Dispatcher,
  call: HttpCall & { readonly signal: AbortSignal },
): Promise<HttpAnswer> {
  const { statusCode, headers, body } = await dispatcher.request({
    // Only dispatchers for several origins read it; a Pool has its own.
    origin: "",
    path: call.path,
    method: call.method,
    body: call.body ?? null,
    headers: call.body === undefined
      ? {}
      : { "content-type": "application/json" },
    signal: call.signal,
  });
  const text = await body.text();
  const retryAfterMs = parseRetryAfter(headers["retry-after"]);
  return { kind: "answer", status: statusCode, retryAfterMs, text };
}

function describeFailure(caught: unknown, timeout: AbortSignal): HttpFailure {
  const code = readCode(caught);
  if (code !== undefined && CONNECT_ERROR_CODES.has(code)) {
    return {
      kind: "refused",
      reason: `The platform is unreachable (${code}); check its address`,
    };
  }
  if (timeout.aborted) {
    return { kind: "lost", reason: "The platform did not answer in time" };
  }
  const detail = caught instanceof errors.UndiciError || code !== undefined
    ? code
    : String(caught);
  return { kind: "lost", reason: `The platform's answer was lost: ${detail}` };
}

function readCode(caught: unknown): string | undefined {
  const { code } = (caught ?? {}) as { readonly code?: unknown };
  return typeof code === "string" ? code : undefined;
}

function parseRetryAfter(
  value: string | string[] | undefined,
): number | undefined {
  const seconds = Number(value);
  if (value === undefined || !Number.isFinite(seconds)) return undefined;
  return Math.max(0, seconds * 1000);
}
