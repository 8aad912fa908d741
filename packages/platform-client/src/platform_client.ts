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
} from "./answer_schemas.ts";
import { callPlatform, type HttpAnswer } from "./transport.ts";

/** Settings of {@link createPlatformClient}. */
export interface PlatformClientOptions {
  /** Origin of the platform, such as `http://127.0.0.1:7000`. */
  readonly baseUrl: string;
  /** Time limit of a call, in milliseconds; a long poll adds its `waitMs`. */
  readonly timeoutMs: number;
}

/** Outcome of an append. */
export type AppendAnswer =
  | {
    readonly kind: "appended";
    readonly firstOffset: number;
    readonly lastOffset: number;
  }
  /** The records were not appended and will not be. */
  | {
    readonly kind: "refused";
    readonly reason: string;
    /** Wait before a retry, in milliseconds; set when the rate was exceeded. */
    readonly retryAfterMs?: number;
  }
  /** No valid answer: the records may be in the log, or appear there later. */
  | { readonly kind: "lost"; readonly reason: string };

/** Outcome of a read. */
export type ReadAnswer =
  | {
    readonly kind: "records";
    readonly records: readonly LogRecord[];
    /** First offset that the log retains. */
    readonly firstOffset: number;
    /** End of the log: the offset of the next record to be appended. */
    readonly nextOffset: number;
  }
  /** The requested offset is below the first retained one. */
  | { readonly kind: "truncated"; readonly firstOffset: number };

/** Options of {@link PlatformClient.read}. */
export interface ReadOptions {
  readonly fromOffset: number;
  /** How long the platform may hold the call for a record, in milliseconds. */
  readonly waitMs: number;
  /** Largest number of records in one answer. */
  readonly limit: number;
  readonly signal?: AbortSignal;
}

/** Access to the platform's log, VM list and weight store. */
export interface PlatformClient {
  /**
   * Appends the records as one contiguous batch. Sends it once, without
   * retries, and never throws.
   */
  append(
    stream: LogStream,
    records: readonly unknown[],
    options?: { readonly signal?: AbortSignal },
  ): Promise<AppendAnswer>;
  /** Reads records; throws `platform_unavailable` without a valid answer. */
  read(stream: LogStream, options: ReadOptions): Promise<ReadAnswer>;
  /**
   * Reads the VM list; throws `platform_unavailable` without a valid answer.
   */
  listVms(options?: { readonly signal?: AbortSignal }): Promise<VmList>;
  /** Loads weights and returns their size in bytes. */
  fetchWeights(model: ModelName, version: WeightsVersion): Promise<number>;
  close(): Promise<void>;
}

/** Wait after a 429 answer without a `Retry-After` header. */
const DEFAULT_RETRY_AFTER_MS = 100;
/** One load takes under half a second, and longer while several run. */
const WEIGHTS_TIMEOUT_MS = 60_000;
/** Four connections are held by long polls of streams; appends use others. */
const CONNECTIONS = 32;

/**
 * Creates a client. Its connections stay open until `close`.
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
      // Each call has its own time limit, and long polls take longer than the
      // defaults.
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
  return parsed.success ? { kind: "appended", ...parsed.data } : {
    kind: "lost",
    reason: "The platform's answer is malformed; check the platform's version",
  };
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
    "The platform's answer is malformed; check the platform's version",
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
  return `The platform answered with status ${answer.status} instead of 200`;
}
