/**
 * Runs the README's demonstration: operators set up a team, callers share a
 * prefix, book, are refused, and lose their key. Exits 0 only when each step
 * came out as stated.
 *
 * @module
 */

import { expectedCompletion } from "@endivebend/stand-ins";
import { request } from "undici";
import { complete, send } from "./caller.ts";
import { DemoDeployment } from "./deployment.ts";
import { Report } from "./report.ts";

const RULEBOOK = "Every peal opens with rounds and closes in rounds. ".repeat(
  480,
);
const MAX_TOKENS = 16;
const RATE_TOKENS_PER_SECOND = 200_000;
const SMALL_BURST_TOKENS = 8_000;

const TEMPLATE = {
  parameters: {
    tokenRatePerSecond: { default: RATE_TOKENS_PER_SECOND, minimum: 1 },
    burstTokens: { default: RATE_TOKENS_PER_SECOND, minimum: 1 },
  },
  services: ["chime-llm", "belfry-app"],
  models: ["chime-llm"],
  routes: [{
    path: "/bookings",
    methods: ["POST"],
    service: "belfry-app",
    repeatable: false,
  }],
};

interface Demo {
  readonly deployment: DemoDeployment;
  readonly report: Report;
}

interface GrantedKey {
  readonly key: string;
  readonly keyId: string;
}

async function setUpTeam(
  { deployment, report }: Demo,
  team: { readonly name: string; readonly parameters: readonly string[] },
): Promise<GrantedKey> {
  const { name, parameters } = team;
  const created = await deployment.operate([
    ...["team", "create", name, "--template", "parish"],
    ...parameters,
  ]);
  const granted = await deployment.operate(["key", "grant", name]);
  report.add({
    step: `operator creates team ${name} and grants a key`,
    happened: `exit codes ${created.exitCode} and ${granted.exitCode}`,
    isAsStated: created.exitCode === 0 && granted.exitCode === 0,
  });
  const { secret, keyId } = granted.output;
  return { key: String(secret), keyId: String(keyId) };
}

async function publishTemplate({ deployment, report }: Demo): Promise<void> {
  const file = deployment.writeFile("parish.jsonc", TEMPLATE);
  const result = await deployment.operate([
    "template",
    "publish",
    "parish",
    file,
  ]);
  report.add({
    step: "operator publishes template parish",
    happened: `${result.output.verdict}, revision ${result.output.revision}`,
    isAsStated: result.exitCode === 0 && result.output.verdict === "accepted",
  });
}

async function sharePrefix(
  { deployment, report }: Demo,
  key: string,
): Promise<string> {
  const parishes = ["St Mary", "St Anne", "St John", "St Paul"];
  let cachedTokens = 0;
  let promptTokens = 0;
  let whole = 0;
  let requestId = "";
  for (const [index, parish] of parishes.entries()) {
    const prompt = `${RULEBOOK}Draft a schedule for ${parish}.`;
    const router = deployment.routers[index % 2]!;
    const { callers: address } = router;
    const answer = await complete({
      address,
      key,
      prompt,
      maxTokens: MAX_TOKENS,
    });
    const wanted = expectedCompletion(prompt, "chime-llm", "w1", MAX_TOKENS);
    const isWhole = answer.isComplete && answer.text === wanted;
    if (isWhole) whole++;
    cachedTokens += answer.cachedTokens;
    promptTokens += answer.promptTokens;
    requestId = answer.requestId;
    console.log(
      `     ${parish} by ${router.vmId}: ${answer.cachedTokens} of ` +
        `${answer.promptTokens} prompt tokens were cached`,
    );
  }
  const hitRate = cachedTokens / promptTokens;
  report.add({
    step: "four streamed completions share a prefix over two routers",
    happened: `${whole} whole and exact, prefix hit rate ${
      (hitRate * 100).toFixed(0)
    }%`,
    // Three of four requests can find the rulebook, whose last part block is
    // never cached.
    isAsStated: whole === parishes.length && hitRate >= 0.6,
  });
  return requestId;
}

async function book({ deployment, report }: Demo, key: string): Promise<void> {
  const idempotencyKey = `${Math.floor(Date.now() / 1000)}-funeral-at-ten`;
  const answers = [];
  for (const router of deployment.routers) {
    answers.push(
      await send({
        address: router.callers,
        path: "/bookings",
        key,
        headers: { "idempotency-key": idempotencyKey },
        body: { tower: "St Mary", at: "10:00" },
      }),
    );
  }
  const { body } = await request(
    `http://${deployment.service.controlAddress}/record`,
  );
  const record = await body.json() as { readonly ran: readonly unknown[] };
  const isSame = answers[0]!.text === answers[1]!.text;
  report.add({
    step: "one booking sent through both routers under one idempotency key",
    happened: `statuses ${answers.map(({ status }) => status).join(" and ")}, ${
      isSame ? "same" : "different"
    } answer, ran ${record.ran.length} time(s)`,
    isAsStated: isSame && record.ran.length === 1 &&
      answers.every(({ status }) => status === 201),
  });
}

async function meetLimit(
  { deployment, report }: Demo,
  key: string,
): Promise<void> {
  const router = deployment.routers[1]!;
  const prompt = RULEBOOK.slice(0, 4 * SMALL_BURST_TOKENS * 0.7);
  const ask = () =>
    complete({ address: router.callers, key, prompt, maxTokens: 1 });
  const first = await ask();
  const second = await ask();
  report.add({
    step: "a team over its rate and burst is refused",
    happened:
      `first ${first.status}, second ${second.status} ${second.errorCode}`,
    isAsStated: first.status === 200 && second.status === 429 &&
      second.errorCode === "rate_limited",
  });
}

async function explain(
  { deployment, report }: Demo,
  requestId: string,
): Promise<void> {
  const { exitCode, output } = await deployment.operate(["explain", requestId]);
  const text = JSON.stringify(output);
  report.add({
    step: "operator asks why a request went where it did",
    happened: `exit code ${exitCode}, ${text.length} bytes of explanation`,
    isAsStated: exitCode === 0 && text.includes('"step":"route"'),
  });
}

async function withdraw(
  { deployment, report }: Demo,
  granted: GrantedKey,
): Promise<void> {
  const running = complete({
    address: deployment.routers[1]!.callers,
    key: granted.key,
    prompt: "Ring until the key is withdrawn",
    maxTokens: 20_000,
  });
  const result = await deployment.operate(["key", "withdraw", granted.keyId]);
  const { isComplete, errorCode } = await running;
  report.add({
    step: "a withdrawn key ends a running stream at the other router",
    happened: `withdrawal exit code ${result.exitCode}, stream ${
      isComplete ? "complete" : `ended with ${errorCode}`
    }`,
    isAsStated: result.exitCode === 0 && errorCode === "key_withdrawn",
  });
}

async function stop({ deployment, report }: Demo): Promise<void> {
  const codes = await deployment.stopRouters();
  report.add({
    step: "the routers stop on SIGTERM",
    happened: `exit codes ${codes.join(" and ")}`,
    isAsStated: codes.every((code) => code === 0),
  });
}

async function run(demo: Demo): Promise<void> {
  await publishTemplate(demo);
  const parish = await setUpTeam(demo, { name: "st-mary", parameters: [] });
  const small = await setUpTeam(demo, {
    name: "st-anne",
    parameters: [
      ...["--set", "tokenRatePerSecond=2000"],
      ...["--set", `burstTokens=${SMALL_BURST_TOKENS}`],
    ],
  });
  const requestId = await sharePrefix(demo, parish.key);
  await book(demo, parish.key);
  await meetLimit(demo, small.key);
  await explain(demo, requestId);
  await withdraw(demo, parish);
  await stop(demo);
}

const demo: Demo = { deployment: new DemoDeployment(), report: new Report() };
try {
  console.log("Starting a platform, two engines, a service and two routers");
  await demo.deployment.start();
  await run(demo);
  process.exitCode = demo.report.finish();
} finally {
  await demo.deployment.close();
}
