/**
 * Runs one attempt of a model request at an engine over HTTP.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import type { ErrorCode } from "@endivebend/errors";
import {
  type EngineMessage,
  parseEngineMessage,
  SseParser,
} from "@endivebend/streams";
import { brandId, type WeightsVersion } from "@endivebend/types";
import { type Dispatcher, Pool } from "undici";

const MAX_EVENT_BYTES = 1 << 20;
const MAX_ERROR_BYTES = 16_384;
const CONNECT_TIMEOUT_MS = 1000;
/** Time limit for the end of a response after its last event. */
const RESPONSE_END_TIMEOUT_MS = 1000;

/** Receives the events of an attempt, in order. */
export interface AttemptSink {
  /** Called before the first byte is written to the engine. */
  started(): void;
  headers(answer: EngineHeaders): void;
  message(message: EngineMessage): void;
  ended(): void;
  failed(failure: AttemptFailure): void;
}

/** Why an attempt failed. */
export interface AttemptFailure {
  readonly reason: string;
  /** False when another engine would refuse the request too. */
  readonly retryable: boolean;
  /** The engine announced that it is leaving. */
  readonly isLeaving: boolean;
  /** The connection could not be opened, or it broke. */
  readonly isConnectionLost: boolean;
  /** The engine's weights have changed since it was selected. */
  readonly isWeightsMismatch: boolean;
  readonly code?: ErrorCode;
  /** Headers of the engine's response, when there was one. */
  readonly engine?: EngineHeaders;
}

/** Headers in which an engine describes itself in every response. */
export interface EngineHeaders {
  readonly incarnation: string;
  readonly weightsVersion: WeightsVersion;
}

/** A running attempt. */
export interface RunningAttempt {
  pause(): void;
  resume(): void;
  /** Closes the connection; the sink is not called any more. */
  cancel(): void;
  /**
   * Called when the answer is complete. Reads the rest of the response, so that
   * the connection can be reused. The sink is not called any more.
   */
  finish(): void;
}

/** The HTTP request of an attempt. */
export interface AttemptRequest {
  readonly path: string;
  readonly body: string;
  readonly headers: Readonly<Record<string, string>>;
}

type Controller = Dispatcher.DispatchController;

/** Handles the events of one HTTP request and its response. */
class AttemptHandler implements Dispatcher.DispatchHandler, RunningAttempt {
  readonly #sink: AttemptSink;
  readonly #parser = new SseParser({ maxEventBytes: MAX_EVENT_BYTES });
  #controller: Controller | undefined;
  #status = 0;
  #isLeaving = false;
  #errorText = "";
  #engine: EngineHeaders | undefined;
  #isFinished = false;
  #isPaused = false;
  #endTimer: NodeJS.Timeout | undefined;

  constructor(sink: AttemptSink) {
    this.#sink = sink;
  }

  onRequestStart(controller: Controller): void {
    this.#controller = controller;
    if (this.#isFinished) {
      controller.abort(new Error("The attempt was cancelled"));
      return;
    }
    this.#sink.started();
  }

  onResponseStart(
    _controller: Controller,
    statusCode: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (this.#isFinished) return;
    this.#status = statusCode;
    this.#isLeaving = headers["x-leaving"] === "1";
    this.#engine = readEngineHeaders(headers);
    if (statusCode !== 200) return;
    this.#sink.headers(this.#engine);
    if (this.#isPaused) this.#controller?.pause();
  }

  onResponseData(_controller: Controller, chunk: Buffer): void {
    if (this.#isFinished) return;
    if (this.#status !== 200) {
      if (this.#errorText.length < MAX_ERROR_BYTES) {
        this.#errorText += chunk.toString("utf8");
      }
      return;
    }
    for (const event of this.#parser.push(chunk)) {
      if (this.#isFinished) return;
      this.#sink.message(parseEngineMessage(event));
    }
  }

  onResponseEnd(): void {
    clearTimeout(this.#endTimer);
    if (this.#isFinished) return;
    this.#isFinished = true;
    if (this.#status === 200) return this.#sink.ended();
    const failure = createStatusFailure(this.#status, {
      isLeaving: this.#isLeaving,
      text: this.#errorText,
    });
    const engine = this.#engine === undefined ? {} : { engine: this.#engine };
    this.#sink.failed({ ...failure, ...engine });
  }

  onResponseError(_controller: Controller, error: Error): void {
    clearTimeout(this.#endTimer);
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#sink.failed({
      reason: `The connection to the engine failed: ${error.message}`,
      retryable: true,
      isLeaving: false,
      isConnectionLost: true,
      isWeightsMismatch: false,
    });
  }

  pause(): void {
    this.#isPaused = true;
    this.#controller?.pause();
  }

  resume(): void {
    this.#isPaused = false;
    this.#controller?.resume();
  }

  finish(): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#controller?.resume();
    const abort = () =>
      this.#controller?.abort(
        new Error("The response did not end in time after its last event"),
      );
    this.#endTimer = setTimeout(abort, RESPONSE_END_TIMEOUT_MS).unref();
  }

  cancel(): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#controller?.abort(new Error("The attempt was cancelled"));
  }
}

function readEngineHeaders(headers: IncomingHttpHeaders): EngineHeaders {
  const version = String(headers["x-weights-version"] ?? "");
  return {
    incarnation: String(headers["x-incarnation"] ?? ""),
    weightsVersion: brandId<WeightsVersion>(version),
  };
}

/** Status of an engine whose weights differ from `weights_version`. */
const WEIGHTS_MISMATCH_STATUS = 409;
const RETRYABLE_STATUSES = new Set([408, WEIGHTS_MISMATCH_STATUS, 429]);

function createStatusFailure(
  status: number,
  answer: { readonly isLeaving: boolean; readonly text: string },
): AttemptFailure {
  const retryable = status >= 500 || RETRYABLE_STATUSES.has(status);
  return {
    reason: `The engine answered with status ${status}`,
    retryable,
    isLeaving: answer.isLeaving,
    isConnectionLost: false,
    isWeightsMismatch: status === WEIGHTS_MISMATCH_STATUS,
    ...(retryable ? {} : { code: "malformed_request" as const }),
  };
}

/** Connections to engines, in one pool per address. */
export class EngineConnections {
  readonly #pools = new Map<string, Pool>();

  /** Starts an attempt; the sink is called later, never during this call. */
  start(
    address: string,
    options: { readonly request: AttemptRequest; readonly sink: AttemptSink },
  ): RunningAttempt {
    const handler = new AttemptHandler(options.sink);
    const { path, body, headers } = options.request;
    this.pool(address).dispatch({
      path,
      method: "POST",
      body,
      headers: { ...headers, "content-type": "application/json" },
      // Zero disables both: the stream has its own progress deadlines.
      headersTimeout: 0,
      bodyTimeout: 0,
    }, handler);
    return handler;
  }

  /** Returns the pool of an address; creates it on first use. */
  pool(address: string): Pool {
    const existing = this.#pools.get(address);
    if (existing !== undefined) return existing;
    const pool = new Pool(`http://${address}`, {
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS, noDelay: true },
      keepAliveTimeout: 30_000,
    });
    this.#pools.set(address, pool);
    return pool;
  }

  /** Closes the pools of addresses that are not in `addresses`. */
  retain(addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.#pools) {
      if (addresses.has(address)) continue;
      this.#pools.delete(address);
      pool.close().catch(() => {});
    }
  }

  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }
}
