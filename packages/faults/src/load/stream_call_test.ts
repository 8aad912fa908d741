import test, { type ExecutionContext } from "ava";
import { type EngineStandIn, startEngine } from "@endivebend/stand-ins";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Daemon } from "../harness/daemon.ts";
import { MODEL } from "../harness/operator.ts";
import { Rotation } from "./rotation.ts";
import { callStream } from "./stream_call.ts";

const team = { name: "st-mary", key: "ebk_1", keyId: "key-1" };
const wanted = { team, prompt: "Which bell?", maxTokens: 10 };

// An engine answers as a daemon does, so it can stand in for one here.
async function start(t: ExecutionContext) {
  const engine = await startEngine({ model: MODEL, decodeMsPerToken: 2 });
  const daemon = {
    vmId: "e1",
    callersAddress: engine.address,
    brokenAtMs: -Infinity,
  } as Daemon;
  const rotation = new Rotation([daemon], xoroshiro128plus(1));
  t.teardown(async () => {
    await rotation.close();
    await engine.close();
  });
  return { engine, rotation };
}

async function whenRunning(engine: EngineStandIn): Promise<void> {
  while (engine.record().completions === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

test("only the whole, right text counts as answered", async (t) => {
  const { engine, rotation } = await start(t);
  t.is((await callStream(rotation, wanted)).kind, "answered");
  await engine.control({ dropChunk: 1 });
  t.is((await callStream(rotation, wanted)).kind, "corrupt");
});

test("a stream whose connection breaks counts as cut", async (t) => {
  const { engine, rotation } = await start(t);
  const call = callStream(rotation, { ...wanted, maxTokens: 5000 });
  await whenRunning(engine);
  await engine.control({ crash: {} });
  t.is((await call).kind, "cut");
});

test("a refusal is not counted as an answer", async (t) => {
  const { engine, rotation } = await start(t);
  await engine.control({ drainingRefusal: true });
  t.is((await callStream(rotation, wanted)).kind, "refused");
});
