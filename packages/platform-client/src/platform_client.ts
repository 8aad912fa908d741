/**
 * The typed client of the platform.
 *
 * @module
 */

import { Pool } from "undici";
import type { z } from "zod";
import { createError } from "@endivebend/errors";
import type {
  LogRecord,
  LogStream,
  ModelName,
  VmList,
  WeightsVersion,
} from "@endivebend/types";
import {
  appendAnswerSchema,
  readAnswerSchema,
  truncatedAnswerSchema,
  vmListSchema,
} from "./answers.ts";
import { callPlatform, type HttpAnswer } from "./transport.ts";

/** Settings of {@link createPlatformClient}. */
export interface PlatformClientOptions {
  /** Such as `http://127.0.0.1:7000`. */
  readonly baseUrl: string;
  /** Time limit of a call, in milliseconds; a long poll adds its `waitMs`. */
  readonly timeoutMs: number;
}

/** How an append ended. */
export type AppendAnswer =
  | {
    readonly kind: "appended";
    readonly firstOffset: number;
    readonly lastOffset: number;
  }
  /** The platform certainly did not take the records and never will. */
  | {
    readonly kind: "refused";
    readonly reason: string;
    /** Set when the append rate was exceeded. */
    readonly retryAfterMs?: number;
  }
  /** The answer was lost: the records may be in the log, or appear later. */
  | { readonly kind: "lost"; readonly reason: string };

/** How a read ended. */
export type ReadAnswer =
  | {
    readonly kind: "records";
    readonly records: readonly LogRecord[];
    /** First offset that the log still keeps. */
    readonly firstOffset: number;
    /** Offset that the next appended record will get: the end of the log. */
    readonly nextOffset: number;
  }
  /** The wanted offset is below the first kept one. */
  | { readonly kind: "truncated"; readonly firstOffset: number };

/** What to read. */
export interface ReadOptions {
  readonly fromOffset: number;
  /** How long the platform may wait for a record, in milliseconds. */
  readonly waitMs: number;
  /** Most records in one answer. */
  readonly limit: number;
  readonly signal?: AbortSignal;
}

/** Access to the platform's log, VM list and weight store. */
export interface PlatformClient {
  /** Appends a contiguous batch, once; never throws. */
  append(
    stream: LogStream,
    records: readonly unknown[],
    options?: { readonly signal?: AbortSignal },
  ): Promise<AppendAnswer>;
  /** Reads records; throws `platform_unavailable` without a valid answer. */
  read(stream: LogStream, options: ReadOptions): Promise<ReadAnswer>;
  /** Reads the VM list; throws `platform_unavailable` without a valid answer. */
  listVms(options?: { readonly signal?: AbortSignal }): Promise<VmList>;
  /** Loads weights and returns their size in bytes. */
  fetchWeights(model: ModelName, version: WeightsVersion): Promise<number>;
  close(): Promise<void>;
}

/** Used when the platform refuses for its append rate and names no time. */
const DEFAULT_RETRY_AFTER_MS = 100;
/** Weights load in under half a second, longer while several load. */
const WEIGHTS_TIMEOUT_MS = 60_000;
/** A daemon follows four streams by long polls and appends beside them. */
const CONNECTIONS = 32;

/**
 * Creates a client; its connections are kept open until `close`.
 *
 * @example
 * ```ts
 * const platform = createPlatformClient({
 *   baseUrl: "http://127.0.0.1:7000",
 *   timeoutMs: 2000,
 * });
 * const answer = await platform.append("orders", [{ recordId: "r-1" }]);
 * if (answer.kind === "lost") {
 *   // Read the stream and look for the record id.
 * }
 * ```
 */
export function createPlatformClient(
  options: PlatformClientOptions,
): PlatformClient {
  return new HttpPlatformClient(options);
}

class HttpPlatformClient implements PlatformClient {
  readonly #pool: Pool;
  readonly #timeoutMs: number;

  constructor(options: PlatformClientOptions) {
    this.#timeoutMs = options.timeoutMs;
    this.#pool = new Pool(options.baseUrl, {
      connections: CONNECTIONS,
      pipelining: 1,
      connect: { timeout: options.timeoutMs },
      // The time limit of each call covers these, and long polls need more.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  async append(
    stream: LogStream,
    records: readonly unknown[],
    options: { readonly signal?: AbortSignal } = {},
  ): Promise<AppendAnswer> {
    const answer = await callPlatform(this.#pool, {
      method: "POST",
      path: `/v1/streams/${stream}/records`,
      body: JSON.stringify({ records }),
      timeoutMs: this.#timeoutMs,
      signal: options.signal,
    });
    return answer.kind === "answer" ? readAppendAnswer(answer) : answer;
  }

  async read(stream: LogStream, options: ReadOptions): Promise<ReadAnswer> {
    const { fromOffset, waitMs, limit } = options;
    const query = `from=${fromOffset}&waitMs=${waitMs}&limit=${limit}`;
    const answer = await this.#get(`/v1/streams/${stream}/records?${query}`, {
      timeoutMs: waitMs + this.#timeoutMs,
      signal: options.signal,
    });
    if (answer.status === 410) {
      const { firstOffset } = parseAnswer(answer, truncatedAnswerSchema);
      return { kind: "truncated", firstOffset };
    }
    const parsed = parseAnswer(requireOk(answer), readAnswerSchema);
    return { kind: "records", ...parsed };
  }

  async listVms(
    options: { readonly signal?: AbortSignal } = {},
  ): Promise<VmList> {
    const answer = await this.#get("/v1/vms", {
      timeoutMs: this.#timeoutMs,
      signal: options.signal,
    });
    return parseAnswer(requireOk(answer), vmListSchema);
  }

  async fetchWeights(
    model: ModelName,
    version: WeightsVersion,
  ): Promise<number> {
    const path = `/v1/weights/${encodeURIComponent(model)}/${
      encodeURIComponent(version)
    }`;
    const answer = await this.#get(path, { timeoutMs: WEIGHTS_TIMEOUT_MS });
    return Buffer.byteLength(requireOk(answer).text);
  }

  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #get(
    path: string,
    options: {
      readonly timeoutMs: number;
      readonly signal?: AbortSignal | undefined;
    },
  ): Promise<HttpAnswer> {
    const answer = await callPlatform(this.#pool, {
      method: "GET",
      path,
      ...options,
    });
    if (answer.kind === "answer") return answer;
    throw createError("platform_unavailable", answer.reason);
  }
}

function readAppendAnswer(answer: HttpAnswer): AppendAnswer {
  if (answer.status === 429) {
    const retryAfterMs = answer.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
    return { kind: "refused", reason: describeStatus(answer), retryAfterMs };
  }
  if (answer.status >= 400 && answer.status < 500) {
    return { kind: "refused", reason: describeStatus(answer) };
  }
  if (answer.status !== 200) {
    return { kind: "lost", reason: describeStatus(answer) };
  }
  const parsed = appendAnswerSchema.safeParse(tryParseJson(answer.text));
  return parsed.success
    ? { kind: "appended", ...parsed.data }
    : { kind: "lost", reason: "The platform's answer is malformed" };
}

function requireOk(answer: HttpAnswer): HttpAnswer {
  if (answer.status === 200) return answer;
  throw createError("platform_unavailable", describeStatus(answer));
}

function parseAnswer<Schema extends z.ZodType>(
  answer: HttpAnswer,
  schema: Schema,
): z.infer<Schema> {
  const parsed = schema.safeParse(tryParseJson(answer.text));
  if (parsed.success) return parsed.data;
  throw createError(
    "platform_unavailable",
    "The platform's answer is malformed",
    {
      cause: parsed.error,
    },
  );
}

function tryParseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function describeStatus(answer: HttpAnswer): string {
  return `The platform answered with status ${answer.status}`;
}
