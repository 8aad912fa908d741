import test from "ava";
import { startEngine } from "@endivebend/stand-ins";
import { TestDeployment } from "../testing_deployment.ts";

const ENGINES = ["engine-1", "engine-2", "engine-3"];

function order(engineId: string, fields: object = {}) {
  const model = "chime-llm";
  const weightsVersion = "v2";
  return { engineId, kind: "load_model", model, weightsVersion, ...fields };
}

/** Starts a deployment whose engines load weights from the platform's store. */
async function startLoadingDeployment() {
  const deployment = await TestDeployment.start({ engines: [], daemons: 2 });
  for (let count = 0; count < ENGINES.length; count++) {
    deployment.engines.push(
      await startEngine({
        model: "chime-llm",
        weightsVersion: "v1",
        platformAddress: deployment.platform.address,
      }),
    );
  }
  await deployment.publishVms();
  let known = 0;
  while (known < ENGINES.length) {
    const { text } = await deployment.callOperatorApi("/operator/v1/engines");
    known = JSON.parse(text).engines.length;
  }
  return deployment;
}

// Guards against a fleet that loads weights at all engines at once, which slows
// down every load.
test("three engines load new weights, at most two at a time", async (t) => {
  const deployment = await startLoadingDeployment();
  const answers = await Promise.all(
    ENGINES.map((engineId) =>
      deployment.callOperatorApi("/operator/v1/orders", order(engineId))
    ),
  );
  for (const [index, { status, text }] of answers.entries()) {
    t.is(status, 200, text);
    t.like(JSON.parse(text), {
      verdict: "accepted",
      result: "finished",
      engineId: ENGINES[index],
    });
  }
  const fences = answers.map(({ text }) => JSON.parse(text).fence);
  t.is(new Set(fences).size, ENGINES.length);
  const record = JSON.parse(await deployment.fetchRecord(deployment.platform));
  t.is(record.mostLoadsAtOnce, 2);
  for (const engine of deployment.engines) {
    const models = await fetch(`http://${engine.address}/v1/models`);
    t.regex(await models.text(), /"weights_version":"v2"/);
  }
  const open = await deployment.callOperatorApi("/operator/v1/orders");
  t.deepEqual(JSON.parse(open.text), { orders: [] });
  await deployment.close();
});

// Guards against an order in the log that can never end.
test("a malformed order is refused with the invalid field and not appended", async (t) => {
  const deployment = await startLoadingDeployment();
  const cases: readonly [string, object][] = [
    ["engineId", order("engine-9")],
    ["engineId", order("")],
    ["kind", order("engine-1", { kind: "explode" })],
    ["model", order("engine-1", { model: "" })],
    ["weightsVersion", order("engine-1", { weightsVersion: 2 })],
    ["waitMs", order("engine-1", { waitMs: -1 })],
    ["waitMs", order("engine-1", { waitMs: 1e9 })],
  ];
  for (const [field, body] of cases) {
    const { status, text } = await deployment.callOperatorApi(
      "/operator/v1/orders",
      body,
    );
    t.is(status, 422, text);
    const { error } = JSON.parse(text);
    t.like(error, { code: "invalid_change", field, ran: "not_run" });
    t.truthy(error.remedy);
  }
  t.deepEqual(deployment.platform.records("orders"), []);
  await deployment.close();
});

// Guards against an outcome that is reported as known although the engine may
// still carry out the order.
test("an order that does not end in time is unknown, and listed until it ends", async (t) => {
  const deployment = await startLoadingDeployment();
  const [engine] = deployment.engines;
  await engine!.control({ crash: { downMs: 60_000 } });
  const pending = deployment.callOperatorApi(
    "/operator/v1/orders",
    order("engine-1", { waitMs: 1500 }),
  );
  let open: readonly { readonly engineId: string }[] = [];
  while (open.length === 0) {
    const { text } = await deployment.callOperatorApi("/operator/v1/orders");
    open = JSON.parse(text).orders;
  }
  t.is(open[0]?.engineId, "engine-1");
  const { text: engines } = await deployment.callOperatorApi(
    "/operator/v1/engines",
  );
  t.regex(engines, /"openOrder":\{"kind":"load_model"/);
  const { status, text } = await pending;
  t.is(status, 202, text);
  t.like(JSON.parse(text), { verdict: "unknown", result: "abandoned" });
  await deployment.close();
});
