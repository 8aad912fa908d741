/**
 * Serves chat and text completions, streamed or as one JSON body.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { createError, isEndivebendError, toRefusal } from "@endivebend/errors";
import type { EngineUsage } from "@endivebend/streams";
import type { ExecutionStatus } from "@endivebend/types";
import type { TeamView } from "../ports.ts";
import { ModelRun } from "../engines/model_run.ts";
import type { RunSink } from "../engines/run_context.ts";
import { parseJsonObject, readBody } from "../http/body.ts";
import { writeJson, writeRefusal } from "../http/respond.ts";
import type { ActiveRequest } from "./active_requests.ts";
import { authenticate, type Caller } from "./authenticate.ts";
import { chargeCaller } from "./charge_caller.ts";
import {
  type CallerContext,
  type Exchange,
  recordAbandoned,
} from "./context.ts";
import {
  type AnswerMetadata,
  formatCompleteAnswer,
  formatErrorEvent,
  formatFinalChunks,
  formatTextChunk,
} from "./model_answer.ts";
import {
  type ModelRequest,
  type ModelRequestShape,
  readModelRequest,
} from "./model_request.ts";

type Headers = Readonly<Record<string, string>>;

function requireModel(request: ModelRequest, team: TeamView): void {
  if (team.models.includes(request.model)) return;
  const message = `The model ${request.model} is not available to the team`;
  throw createError("unknown_model", message, { field: "model" });
}

/**
 * Handles one completion request; resolves when its answer has ended. Throws
 * typed errors for requests that are refused before they run.
 */
export async function handleModelRequest(
  context: CallerContext,
  options: { readonly exchange: Exchange; readonly shape: ModelRequestShape },
): Promise<void> {
  const { exchange, shape } = options;
  const { configuration, limits } = context;
  const caller = authenticate(exchange.request.headers, configuration);
  const body = await readBody(exchange.request, {
    maxBytes: limits.maxBodyBytes,
  });
  const { defaultMaxTokens } = limits;
  const request = readModelRequest(parseJsonObject(body), {
    shape,
    defaultMaxTokens,
  });
  requireModel(request, caller.team);
  const costTokens = request.promptTokens + request.maxTokens;
  const headers = await chargeCaller(context, { exchange, caller, costTokens });
  if (headers === undefined) return;
  await runModel(context, { exchange, request, caller, headers });
}

function runModel(
  context: CallerContext,
  options: {
    readonly exchange: Exchange;
    readonly request: ModelRequest;
    readonly caller: Caller;
    readonly headers: Headers;
  },
): Promise<void> {
  const { exchange, request, caller, headers } = options;
  const { limits } = context;
  return new Promise((resolve) => {
    const metadata: AnswerMetadata = {
      shape: request.shape,
      requestId: exchange.requestId,
      model: request.model,
      createdS: Math.floor(context.clock.wallMs() / 1000),
    };
    const writer = request.stream
      ? new StreamAnswerWriter({ exchange, metadata, headers, request })
      : new JsonAnswerWriter({ exchange, metadata, headers });
    const end = () => {
      context.active.remove(active);
      resolve();
    };
    const run = new ModelRun(context.runContext, {
      requestId: exchange.requestId,
      team: caller.team.team,
      request,
      deadlineElapsedMs: exchange.receivedAtMs + limits.requestTimeoutMs,
      queueDeadlineElapsedMs: exchange.receivedAtMs + limits.queueWaitMs,
      queueWaitMs: limits.queueWaitMs,
      span: exchange.span,
      sink: notifyOnEnd(writer, end),
    });
    const active: ActiveRequest = {
      digest: caller.digest,
      stop(error) {
        const ran = run.wasSent ? "unknown" : "not_run";
        run.abandon();
        writer.fail(withExecutionStatus(error, ran));
        end();
      },
    };
    context.active.add(active);
    exchange.response.on("drain", () => run.callerReady());
    exchange.openRequest.onAbandoned(() => {
      recordAbandoned(context, exchange);
      run.abandon();
      end();
    });
    run.start();
  });
}

/** Adds to an error whether the request ran or may have run. */
function withExecutionStatus(error: Error, ran: ExecutionStatus): Error {
  if (!isEndivebendError(error)) return error;
  return createError(error.code, error.message, { ran });
}

function notifyOnEnd(writer: RunSink, end: () => void): RunSink {
  return {
    text: (text) => writer.text(text),
    finish(result) {
      writer.finish(result);
      end();
    },
    fail(error) {
      writer.fail(error);
      end();
    },
  };
}

/** Writes an answer as server-sent events. */
class StreamAnswerWriter implements RunSink {
  readonly #response: ServerResponse;
  readonly #exchange: Exchange;
  readonly #metadata: AnswerMetadata;
  readonly #headers: Headers;
  readonly #includeUsage: boolean;
  #isHeadWritten = false;

  constructor(options: {
    readonly exchange: Exchange;
    readonly metadata: AnswerMetadata;
    readonly headers: Headers;
    readonly request: ModelRequest;
  }) {
    this.#exchange = options.exchange;
    this.#response = options.exchange.response;
    this.#metadata = options.metadata;
    this.#headers = options.headers;
    this.#includeUsage = options.request.includeUsage;
  }

  text(text: string): boolean {
    const isFirst = !this.#isHeadWritten;
    this.#writeHeadOnce();
    return this.#response.write(
      formatTextChunk(this.#metadata, { text, isFirst }),
    );
  }

  finish(end: { readonly finishReason: string; readonly usage: EngineUsage }) {
    this.#writeHeadOnce();
    const usage = this.#includeUsage ? { usage: end.usage } : {};
    const { finishReason } = end;
    this.#response.end(
      formatFinalChunks(this.#metadata, { finishReason, ...usage }),
    );
  }

  fail(error: Error): void {
    const { requestId } = this.#exchange;
    if (!this.#isHeadWritten) {
      const headers = this.#headers;
      writeRefusal(this.#response, { caught: error, requestId, headers });
      return;
    }
    const refusal = toRefusal(error, requestId);
    // The caller has received part of the answer, so the request did run.
    const body = { error: { ...refusal.body.error, ran: "ran" } };
    this.#response.end(formatErrorEvent(body));
  }

  #writeHeadOnce(): void {
    if (this.#isHeadWritten) return;
    this.#isHeadWritten = true;
    this.#response.writeHead(200, {
      ...this.#headers,
      "content-type": "text/event-stream",
      "cache-control": "no-cache",
      "x-request-id": this.#exchange.requestId,
    });
  }
}

/** Buffers the text of an answer and writes it as one JSON body at the end. */
class JsonAnswerWriter implements RunSink {
  readonly #exchange: Exchange;
  readonly #metadata: AnswerMetadata;
  readonly #headers: Headers;
  #text = "";

  constructor(options: {
    readonly exchange: Exchange;
    readonly metadata: AnswerMetadata;
    readonly headers: Headers;
  }) {
    this.#exchange = options.exchange;
    this.#metadata = options.metadata;
    this.#headers = options.headers;
  }

  text(text: string): boolean {
    this.#text += text;
    return true;
  }

  finish(end: { readonly finishReason: string; readonly usage: EngineUsage }) {
    const { response, requestId } = this.#exchange;
    const body = formatCompleteAnswer(this.#metadata, {
      ...end,
      text: this.#text,
    });
    const headers = { ...this.#headers, "x-request-id": requestId };
    writeJson(response, { status: 200, body, headers });
  }

  fail(error: Error): void {
    const { response, requestId } = this.#exchange;
    const headers = this.#headers;
    writeRefusal(response, { caught: error, requestId, headers });
  }
}
