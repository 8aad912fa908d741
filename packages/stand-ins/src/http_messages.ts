/**
 * Reading requests and writing answers as JSON.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";

/** Largest body that a stand-in reads, in bytes. */
const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** A refusal that a handler throws to answer with a status. */
export class HttpFailure extends Error {
  readonly status: number;
  readonly fields: Readonly<Record<string, unknown>>;

  constructor(
    status: number,
    message: string,
    fields: Readonly<Record<string, unknown>> = {},
  ) {
    super(message);
    this.status = status;
    this.fields = fields;
  }
}

/** Reads the whole body of a request. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  let length = 0;
  for await (const part of request) {
    length += part.length;
    if (length > MAX_BODY_BYTES) {
      throw new HttpFailure(413, "Body is too large; send a smaller one");
    }
    parts.push(part);
  }
  return Buffer.concat(parts, length);
}

/** Reads a body that must be a JSON object. */
export async function readJsonObject(
  request: IncomingMessage,
): Promise<Record<string, unknown>> {
  const text = (await readBody(request)).toString();
  const value = parseJson(text);
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    throw new HttpFailure(400, "Send a JSON object as the body");
  }
  return value as Record<string, unknown>;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new HttpFailure(400, "Body is not JSON; send a JSON object");
  }
}

/** Answers with JSON; does nothing once the connection is gone. */
export function sendJson(
  response: ServerResponse,
  status: number,
  options: {
    readonly body: unknown;
    readonly headers?: Readonly<Record<string, string>>;
  },
): void {
  if (response.destroyed || response.headersSent) return;
  const bytes = Buffer.from(JSON.stringify(options.body));
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": bytes.length,
    ...options.headers,
  });
  response.end(bytes);
}

/** Headers of a request with one string per name. */
export function flattenHeaders(
  request: IncomingMessage,
): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (value !== undefined) headers[name] = String(value);
  }
  return headers;
}

/** Reads a whole number from a query, or gives the fallback. */
export function queryNumber(
  query: URLSearchParams,
  name: string,
  options: { readonly fallback: number },
): number {
  const text = query.get(name);
  if (text === null || text === "") return options.fallback;
  const value = Number(text);
  if (!Number.isSafeInteger(value) || value < 0) {
    throw new HttpFailure(400, `Query field ${name} must be a whole number`);
  }
  return value;
}
