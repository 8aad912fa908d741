import test, { type ExecutionContext } from "ava";
import { chatPrompt } from "@endivebend/types";
import { request } from "undici";
import {
  type EngineOptions,
  type EngineStandIn,
  expectedCompletion,
  startEngine,
} from "../mod.ts";

const prompt = "Ring the second bell at nine";
const model = "chime";
const blocks = ["b1", "b2"];

interface CacheAnswer {
  readonly events: readonly { readonly seq: number }[];
  readonly nextSeq: number;
  readonly seq: number;
  readonly blocks: readonly string[];
}

interface Choice {
  readonly text?: string;
  readonly message?: { readonly content: string };
  readonly finish_reason: string | null;
}

interface Answer {
  readonly choices: readonly Choice[];
  readonly usage: { cached_tokens: number; completion_tokens: number };
}

interface Chunk extends Answer {
  readonly request_id: string;
  readonly token_index: number;
}

async function start(t: ExecutionContext, options: EngineOptions = {}) {
  const engine = await startEngine({ model, ...options });
  t.teardown(() => engine.close());
  return engine;
}

async function post(
  engine: EngineStandIn,
  path: string,
  options: { readonly body: object },
) {
  const answer = await request(`http://${engine.address}${path}`, {
    method: "POST",
    body: JSON.stringify(options.body),
  });
  return { status: answer.statusCode, body: answer.body };
}

async function complete(
  engine: EngineStandIn,
  fields: object,
  path = "/v1/completions",
): Promise<Answer> {
  const body = { model, prompt, max_tokens: 6, ...fields };
  const answer = await post(engine, path, { body });
  return await answer.body.json() as Answer;
}

async function streamChunks(engine: EngineStandIn, fields: object) {
  const body = { model, prompt, max_tokens: 6, stream: true, ...fields };
  const answer = await post(engine, "/v1/completions", { body });
  const events = (await answer.body.text()).trim().split("\n\n");
  requireDone(events);
  return events.slice(0, -1).map((line) => JSON.parse(line.slice(6)) as Chunk);
}

function requireDone(events: string[]): void {
  if (events.at(-1) !== "data: [DONE]") throw new Error("Stream is not whole");
}

const textOf = (chunks: readonly Chunk[]) =>
  chunks.map((chunk) => chunk.choices[0]?.text ?? "").join("");

test("two engines generate the same text, streamed and whole", async (t) => {
  const [one, two] = [await start(t), await start(t)];
  const expected = expectedCompletion(prompt, model, "w1", 6);
  t.is((await complete(one, {})).choices[0]?.text, expected);
  const chunks = await streamChunks(two, { request_id: "r", attempt_id: "a" });
  t.is(textOf(chunks), expected);
  t.like(chunks[3], { request_id: "r", attempt_id: "a", token_index: 3 });
  t.is(chunks.at(-1)?.choices[0]?.finish_reason, "length");
  t.not(expectedCompletion(prompt, model, "w2", 6), expected);
});

test("a chat runs on the prompt text that the router hashes", async (t) => {
  const engine = await start(t);
  const messages = [{ role: "user", content: "Hi" }];
  const answer = await complete(engine, { messages }, "/v1/chat/completions");
  const text = chatPrompt(messages);
  const expected = expectedCompletion(text, model, "w1", 6);
  t.is(answer.choices[0]?.message?.content, expected);
});

test("a resumed stream continues the text byte for byte", async (t) => {
  const engine = await start(t);
  const expected = expectedCompletion(prompt, model, "w1", 6);
  const generated = expected.slice(0, 8);
  const chunks = await streamChunks(engine, {
    resume_from: 2,
    generated_text: generated,
  });
  t.is(chunks[0]?.token_index, 2);
  t.is(generated + textOf(chunks), expected);
  t.is(engine.record().resumeMismatches, 0);
});

test("a cached prefix is found under its own salt only", async (t) => {
  const engine = await start(t);
  const long = "x".repeat(2 * 8000 + 40);
  const fields = { prompt: long, block_hashes: blocks, cache_salt: "team-a" };
  const cachedTokens = async (changes: object) =>
    (await complete(engine, { ...fields, ...changes })).usage.cached_tokens;
  t.is(await cachedTokens({}), 0);
  t.is(await cachedTokens({}), 4000);
  t.is(await cachedTokens({ cache_salt: "team-b" }), 0);
  t.is(await cachedTokens({ block_hashes: ["b0", "b2"] }), 0);
});

test("lost cache events show as a gap that the whole set fills", async (t) => {
  const engine = await start(t, { dropEventEvery: 2, cacheBlocks: 1 });
  await complete(engine, { block_hashes: ["b1"], cache_salt: "s" });
  await complete(engine, { block_hashes: ["b2"], cache_salt: "s" });
  const get = async (path: string) => {
    const { body } = await request(`http://${engine.address}${path}`);
    return await body.json() as CacheAnswer;
  };
  const { events, nextSeq } = await get("/v1/cache/events?after=0");
  t.deepEqual(events.map((event) => event.seq), [1, 3]);
  t.is(nextSeq, 4);
  const { seq, blocks: whole } = await get("/v1/cache/blocks");
  t.deepEqual([seq, whole], [3, ["b2"]]);
});

test("blocks move to another engine and count there as cached", async (t) => {
  const [from, to] = [await start(t), await start(t)];
  const long = "x".repeat(2 * 8000);
  const fields = { prompt: long, block_hashes: blocks, cache_salt: "s" };
  await complete(from, fields);
  const kvImport = { from: from.address, blocks };
  const answer = await complete(to, { ...fields, kv_import: kvImport });
  t.is(answer.usage.cached_tokens, 4000);
});

test("a stale fencing token is refused only by engines that check", async (t) => {
  const status = async (checksFence: boolean) => {
    const engine = await start(t, { checksFence });
    const order = { kind: "load_adapter", model: "m", weightsVersion: "w1" };
    const send = (fence: number) =>
      post(engine, "/v1/orders", { body: { ...order, fence } });
    await send(5);
    return (await send(4)).status;
  };
  t.is(await status(true), 409);
  t.is(await status(false), 200);
});

test("new weights empty the cache and change the text", async (t) => {
  const engine = await start(t);
  await complete(engine, { block_hashes: blocks, cache_salt: "s" });
  const order = { kind: "load_model", model, weightsVersion: "w2", fence: 1 };
  await post(engine, "/v1/orders", { body: order });
  const answer = await complete(engine, {});
  t.deepEqual(engine.cachedBlocks(), []);
  const expected = expectedCompletion(prompt, model, "w2", 6);
  t.is(answer.choices[0]?.text, expected);
});

test("a crash drops streams and comes back empty on the same port", async (t) => {
  const engine = await start(t, { decodeMsPerToken: 5 });
  await complete(engine, { block_hashes: blocks, cache_salt: "s" });
  const before = engine.incarnation();
  const running = streamChunks(engine, { max_tokens: 10_000 });
  const failed = t.throwsAsync(running);
  while (engine.record().completions < 2) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  await engine.control({ crash: {} });
  await failed;
  t.not(engine.incarnation(), before);
  t.deepEqual(engine.cachedBlocks(), []);
  t.is((await complete(engine, {})).usage.completion_tokens, 6);
});

test("crossed chunks carry the ids of their own stream", async (t) => {
  const engine = await start(t, { decodeMsPerToken: 1 });
  await engine.control({ crossAnswers: 1 });
  const [one, two] = await Promise.all(
    ["r1", "r2"].map((id) => streamChunks(engine, { request_id: id })),
  );
  t.true(one!.some((chunk) => chunk.request_id === "r2"));
  t.true(two!.some((chunk) => chunk.request_id === "r1"));
});

test("a cancelled request gives its batch slot back", async (t) => {
  const engine = await start(t, { decodeMsPerToken: 5, maxBatch: 1 });
  const running = streamChunks(engine, {
    request_id: "r1",
    max_tokens: 10_000,
  });
  const failed = t.throwsAsync(running);
  while (engine.record().completions < 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  await post(engine, "/v1/requests/r1/cancel", { body: {} });
  await failed;
  t.is((await complete(engine, {})).usage.completion_tokens, 6);
});

test("a silenced stream gives its slot back when its reader leaves", async (t) => {
  const engine = await start(t, { decodeMsPerToken: 5, maxBatch: 1 });
  const abort = new AbortController();
  const body = JSON.stringify({ model, prompt, stream: true });
  const answer = await request(`http://${engine.address}/v1/completions`, {
    method: "POST",
    body,
    signal: abort.signal,
  });
  const failed = t.throwsAsync(answer.body.text(), { message: "given up" });
  await engine.control({ silence: true });
  abort.abort(new Error("given up"));
  await failed;
  t.is((await complete(engine, {})).usage.completion_tokens, 6);
});
