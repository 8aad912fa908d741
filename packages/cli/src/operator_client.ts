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
    const answer = await this.#call(path, undefined);
    if (answer.status === 200) return answer.body as Body;
    throw this.#toError(answer, undefined);
  }

  /** Changes; gives every verdict and throws on any other answer. */
  async post(
    path: string,
    body: Readonly<Record<string, unknown>> & { readonly recordId: string },
  ): Promise<OperatorAnswer> {
    const answer = await this.#call(path, body);
    const { verdict } = (answer.body ?? {}) as { readonly verdict?: unknown };
    if (typeof verdict === "string") return answer;
    throw this.#toError(answer, body.recordId);
  }

  close(): Promise<void> {
    return this.#agent.close();
  }

  async #call(
    path: string,
    body: { readonly recordId: string } | undefined,
  ): Promise<OperatorAnswer> {
    const { address, key, tls } = this.#options;
    const scheme = tls === undefined ? "http" : "https";
    try {
      const response = await request(`${scheme}://${address}${path}`, {
        dispatcher: this.#agent,
        method: body === undefined ? "GET" : "POST",
        headers: { authorization: `Bearer ${key}` },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      const text = await response.body.text();
      return { status: response.statusCode, body: JSON.parse(text) };
    } catch (cause) {
      throw this.#toBrokenCall(cause, body?.recordId);
    }
  }

  #toBrokenCall(cause: unknown, recordId: string | undefined) {
    const { address } = this.#options;
    const code = codeOf(cause);
    if (recordId === undefined || NOT_SENT_CODES.has(code)) {
      return failCommand(`No daemon answers at ${address}: ${code}`, {
        exitCode: EXIT_CODES.unreachable,
        remedy:
          "Check that the daemon runs, that this is its operators' listener, and give --operator-ca if that uses TLS",
      });
    }
    return failCommand(`The connection to ${address} broke off: ${code}`, {
      exitCode: EXIT_CODES.outcomeUnknown,
      remedy: `Repeat the command with --record-id ${recordId}`,
      recordId,
    });
  }

  #toError(answer: OperatorAnswer, recordId: string | undefined) {
    const refusal = readRefusal(answer.body);
    const isUnknown = recordId !== undefined && refusal?.ran !== "not_run";
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
