/**
 * Calls the operators' interface of a daemon.
 *
 * @module
 */

import { Agent, type Dispatcher, request } from "undici";
import { failCommand } from "./command_error.ts";
import { EXIT_CODES } from "./exit_codes.ts";

const CONNECT_TIMEOUT_MS = 5_000;
/** Longer than a daemon takes until it reports an outcome as unknown. */
const ANSWER_TIMEOUT_MS = 30_000;

/** Errors that occur only before a byte of the call has been sent. */
const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** TLS files of the connection, as text. */
export interface OperatorTls {
  readonly ca: string;
  readonly cert?: string;
  readonly key?: string;
}

/** Where and how to call. */
export interface OperatorClientOptions {
  /** IP number and port. */
  readonly address: string;
  readonly key: string;
  readonly tls?: OperatorTls;
}

/** An answer; the body is JSON. */
export interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
}

interface CallOptions {
  /** Unset for a call that only reads. */
  readonly body?: Readonly<Record<string, unknown>>;
  readonly recordId?: string;
  /** What to do when the connection breaks off after the call was sent. */
  readonly brokenRemedy?: string;
  readonly timeoutMs?: number;
}

interface Refusal {
  readonly message: string;
  readonly remedy: string;
  readonly ran: string;
  readonly field?: string;
}

function readRefusal(body: unknown): Refusal | undefined {
  const { error } = (body ?? {}) as { readonly error?: Refusal };
  return typeof error?.message === "string" ? error : undefined;
}

function codeOf(cause: unknown): string {
  const { code } = (cause ?? {}) as { readonly code?: unknown };
  return typeof code === "string" ? code : String(cause);
}

/** A client of one daemon's operators' interface. */
export class OperatorClient {
  readonly #options: OperatorClientOptions;
  readonly #agent: Dispatcher;

  constructor(options: OperatorClientOptions) {
    this.#options = options;
    this.#agent = new Agent({
      connect: { timeout: CONNECT_TIMEOUT_MS, ...options.tls },
      headersTimeout: ANSWER_TIMEOUT_MS,
      bodyTimeout: ANSWER_TIMEOUT_MS,
    });
  }

  /** Reads; throws unless the answer is 200. */
  async get<Body>(path: string): Promise<Body> {
    const answer = await this.#call(path, {});
    if (answer.status === 200) return answer.body as Body;
    throw this.#toError(answer, {});
  }

  /** Changes; gives every verdict and throws on any other answer. */
  async post(
    path: string,
    body: Readonly<Record<string, unknown>> & { readonly recordId: string },
  ): Promise<OperatorAnswer> {
    const { recordId } = body;
    const brokenRemedy = `Repeat the command with --record-id ${recordId}`;
    return await this.#change(path, { body, recordId, brokenRemedy });
  }

  /** Gives an order and waits for its end; gives every verdict. */
  async order(
    body: Readonly<Record<string, unknown>> & { readonly waitMs: number },
  ): Promise<OperatorAnswer> {
    const timeoutMs = body.waitMs + ANSWER_TIMEOUT_MS;
    const brokenRemedy = "Read endivebend engine list, then order again";
    const path = "/operator/v1/orders";
    return await this.#change(path, { body, timeoutMs, brokenRemedy });
  }

  async #change(path: string, options: CallOptions): Promise<OperatorAnswer> {
    const answer = await this.#call(path, options);
    const { verdict } = (answer.body ?? {}) as { readonly verdict?: unknown };
    if (typeof verdict === "string") return answer;
    throw this.#toError(answer, options);
  }

  close(): Promise<void> {
    return this.#agent.close();
  }

  async #call(
    path: string,
    options: CallOptions,
  ): Promise<OperatorAnswer> {
    const { body, timeoutMs = ANSWER_TIMEOUT_MS } = options;
    const { address, key, tls } = this.#options;
    const scheme = tls === undefined ? "http" : "https";
    try {
      const response = await request(`${scheme}://${address}${path}`, {
        dispatcher: this.#agent,
        method: body === undefined ? "GET" : "POST",
        headersTimeout: timeoutMs,
        headers: { authorization: `Bearer ${key}` },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      const text = await response.body.text();
      return { status: response.statusCode, body: JSON.parse(text) };
    } catch (cause) {
      throw this.#toBrokenCall(cause, options);
    }
  }

  #toBrokenCall(cause: unknown, options: CallOptions) {
    const { address } = this.#options;
    const { brokenRemedy, recordId } = options;
    const code = codeOf(cause);
    if (brokenRemedy === undefined || NOT_SENT_CODES.has(code)) {
      return failCommand(`No daemon answers at ${address}: ${code}`, {
        exitCode: EXIT_CODES.unreachable,
        remedy:
          "Check that the daemon runs, that this is its operators' listener, and give --operator-ca if that uses TLS",
      });
    }
    return failCommand(`The connection to ${address} broke off: ${code}`, {
      exitCode: EXIT_CODES.outcomeUnknown,
      remedy: brokenRemedy,
      ...(recordId === undefined ? {} : { recordId }),
    });
  }

  #toError(answer: OperatorAnswer, options: CallOptions) {
    const { recordId } = options;
    const refusal = readRefusal(answer.body);
    const isUnknown = options.body !== undefined && refusal?.ran !== "not_run";
    if (refusal === undefined) {
      const message = `The daemon gave an answer of status ${answer.status}`;
      return failCommand(message, {
        exitCode: isUnknown ? EXIT_CODES.outcomeUnknown : EXIT_CODES.refused,
        remedy: "Check that the address is that of the operators' listener",
        recordId,
      });
    }
    const { message, remedy, field } = refusal;
    const exitCode = isUnknown ? EXIT_CODES.outcomeUnknown : EXIT_CODES.refused;
    return failCommand(message, { exitCode, remedy, field, recordId });
  }
}
