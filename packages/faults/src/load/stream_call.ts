/**
 * A streamed completion whose text is compared byte for byte with what any
 * engine must generate.
 *
 * @module
 */

import { expectedCompletion } from "@endivebend/stand-ins";
import type { Dispatcher } from "undici";
import { MODEL, type Team } from "../harness/operator.ts";
import { type Ending, type Outcome, readRefusal } from "./outcome.ts";
import type { Rotation, Target } from "./rotation.ts";
import { sendCall } from "./send.ts";

/** One completion to ask for. */
export interface StreamRequest {
  readonly team: Team;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly target?: Target;
  /** Weights versions whose text is right; `w1` without it. */
  readonly weightsVersions?: readonly string[];
}

interface StreamText {
  text: string;
  isDone: boolean;
  error: string | undefined;
  firstTokenMs: number | undefined;
}

/** Calls `/v1/completions` and checks the stream. */
export function callStream(
  rotation: Rotation,
  wanted: StreamRequest,
): Promise<Outcome> {
  return sendCall(rotation, {
    call: "stream",
    method: "POST",
    path: "/v1/completions",
    headers: {
      authorization: `Bearer ${wanted.team.key}`,
      "content-type": "application/json",
    },
    body: JSON.stringify({
      model: MODEL,
      prompt: wanted.prompt,
      max_tokens: wanted.maxTokens,
      stream: true,
    }),
    target: wanted.target,
    read: (answer, startedAtMs) => readStream(answer, { wanted, startedAtMs }),
  });
}

async function readStream(
  { statusCode, headers, body }: Dispatcher.ResponseData,
  options: { readonly wanted: StreamRequest; readonly startedAtMs: number },
): Promise<Ending> {
  if (statusCode !== 200) {
    return { kind: "refused", ...readRefusal(await body.text()) };
  }
  const requestId = String(headers["x-request-id"]);
  const stream: StreamText = {
    text: "",
    isDone: false,
    error: undefined,
    firstTokenMs: undefined,
  };
  for await (const event of readEvents(body)) {
    takeEvent(stream, { event, startedAtMs: options.startedAtMs });
  }
  return { ...judge(stream, options.wanted), requestId };
}

async function* readEvents(body: AsyncIterable<Buffer>) {
  let pending = "";
  const decoder = new TextDecoder();
  for await (const bytes of body) {
    pending += decoder.decode(bytes, { stream: true });
    const events = pending.split("\n\n");
    pending = events.pop() ?? "";
    yield* events;
  }
}

function takeEvent(
  stream: StreamText,
  options: { readonly event: string; readonly startedAtMs: number },
): void {
  const lines = options.event.split("\n");
  const data = lines.find((line) => line.startsWith("data: "))?.slice(6);
  if (data === undefined) return;
  if (data === "[DONE]") {
    stream.isDone = true;
    return;
  }
  if (lines.includes("event: error")) {
    stream.error = data;
    return;
  }
  const message = JSON.parse(data);
  if (message.error !== undefined) stream.error = data;
  stream.firstTokenMs ??= performance.now() - options.startedAtMs;
  stream.text += message.choices?.[0]?.text ?? "";
}

function judge(stream: StreamText, wanted: StreamRequest): Ending {
  if (stream.error !== undefined) {
    return { kind: "incomplete", ...readRefusal(stream.error) };
  }
  if (!stream.isDone) return { kind: "cut", detail: "Ended without [DONE]" };
  const versions = wanted.weightsVersions ?? ["w1"];
  const isRight = versions.some((version) => {
    const { prompt, maxTokens } = wanted;
    return stream.text ===
      expectedCompletion(prompt, MODEL, version, maxTokens);
  });
  if (!isRight) {
    const detail = `${stream.text.length} bytes, not the expected text`;
    return { kind: "corrupt", detail };
  }
  return { kind: "answered", firstTokenMs: stream.firstTokenMs ?? 0 };
}
