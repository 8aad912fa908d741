/**
 * Calls a router as a team's program does.
 *
 * @module
 */

import { request } from "undici";

/** A whole answer. */
export interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly text: string;
}

/** A streamed completion after its end. */
export interface Completion {
  readonly status: number;
  readonly requestId: string;
  readonly text: string;
  readonly cachedTokens: number;
  readonly promptTokens: number;
  /** Whether the stream said that it was complete. */
  readonly isComplete: boolean;
  readonly errorCode: string | undefined;
}

/** Sends a request with a team's key. */
export async function send(options: {
  readonly address: string;
  readonly path: string;
  readonly key: string;
  readonly body: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}): Promise<Answer> {
  const { statusCode, headers, body } = await request(
    `http://${options.address}${options.path}`,
    {
      method: "POST",
      headers: {
        ...options.headers,
        authorization: `Bearer ${options.key}`,
        "content-type": "application/json",
      },
      body: JSON.stringify(options.body),
    },
  );
  return { status: statusCode, headers, text: await body.text() };
}

/** Asks for a streamed completion and reads it to its end. */
export async function complete(options: {
  readonly address: string;
  readonly key: string;
  readonly prompt: string;
  readonly maxTokens: number;
}): Promise<Completion> {
  const answer = await send({
    address: options.address,
    path: "/v1/completions",
    key: options.key,
    body: {
      model: "chime-llm",
      prompt: options.prompt,
      max_tokens: options.maxTokens,
      stream: true,
      stream_options: { include_usage: true },
    },
  });
  return readCompletion(answer);
}

function readCompletion(answer: Answer): Completion {
  const events = answer.text.split("\n")
    .filter((line) => line.startsWith("data: {"))
    .map((line) => JSON.parse(line.slice("data: ".length)));
  const plain = answer.text.startsWith("{") ? JSON.parse(answer.text) : {};
  const error = events.find((event) => event.error !== undefined) ?? plain;
  const usage = events.find((event) => event.usage !== undefined)?.usage;
  return {
    status: answer.status,
    requestId: String(answer.headers["x-request-id"] ?? ""),
    text: events.map((event) => event.choices?.[0]?.text ?? "").join(""),
    cachedTokens: usage?.prompt_tokens_details?.cached_tokens ?? 0,
    promptTokens: usage?.prompt_tokens ?? 0,
    isComplete: answer.text.includes("data: [DONE]"),
    errorCode: error.error?.code,
  };
}
