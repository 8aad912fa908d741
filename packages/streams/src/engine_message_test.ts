import test from "ava";
import { parseEngineMessage } from "./mod.ts";

function parse(value: unknown) {
  return parseEngineMessage({
    type: "message",
    data: typeof value === "string" ? value : JSON.stringify(value),
    id: undefined,
  });
}

test("completion and chat chunks are parsed with text, ids and usage", (t) => {
  const ids = { request_id: "r", attempt_id: "r.1", token_index: 3 };
  const usage = { prompt_tokens: 8, completion_tokens: 4, cached_tokens: 2 };
  const completion = parse({
    ...ids,
    choices: [{ text: "ab", finish_reason: "stop" }],
    usage,
  });
  t.like(completion, {
    kind: "chunk",
    requestId: "r",
    attemptId: "r.1",
    tokenIndex: 3,
    text: "ab",
    finishReason: "stop",
    usage: { promptTokens: 8, completionTokens: 4, cachedTokens: 2 },
  });
  const chat = parse({ ...ids, choices: [{ delta: { content: "ab" } }] });
  t.like(chat, { text: "ab", finishReason: undefined });
});

test("invalid engine events are reported as malformed and never throw", (t) => {
  t.is(parse("{").kind, "malformed");
  t.is(parse("[]").kind, "malformed");
  t.is(parse({ token_index: -1 }).kind, "malformed");
  t.is(parse({ token_index: "0" }).kind, "malformed");
  t.is(parse({ choices: [null], usage: 3 }).kind, "chunk");
  t.is(parse({ error: { message: "out of memory" } }).kind, "error");
  t.is(parse("[DONE]").kind, "done");
});
