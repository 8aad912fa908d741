/**
 * What an operator does before and during a scenario.
 *
 * @module
 */

import { createHash, randomUUID } from "node:crypto";
import { createPlatformClient } from "@endivebend/platform-client";
import { request } from "undici";
import type { Daemon } from "./daemon.ts";

/** The operator key of every fleet that the harness starts. */
export const OPERATOR_KEY = "operator-key-of-the-fault-harness";
/** The model that engines serve; the VM list names it as their service. */
export const MODEL = "chime-llm";
/** The plain service. */
export const SERVICE = "bookings";

/** A team with one key. */
export interface Team {
  readonly name: string;
  readonly key: string;
  readonly keyId: string;
}

/** Rate and burst of a team. */
export interface TeamRate {
  readonly tokenRatePerSecond: number;
  readonly burstTokens: number;
}

/** SHA-256 in hexadecimal. */
export function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** Appends the harness's template. */
export async function publishTemplate(
  platformAddress: string,
  rate: TeamRate,
): Promise<void> {
  await appendChanges(platformAddress, [{
    kind: "template_published",
    template: "parish",
    body: templateBody(rate),
  }]);
}

/** Appends a team with a key. */
export async function createTeam(
  platformAddress: string,
  options: { readonly name: string; readonly rate?: TeamRate },
): Promise<Team> {
  const { name } = options;
  const key = `ebk_${randomUUID().replaceAll("-", "")}`;
  const digest = sha256(key);
  const parameters = options.rate ?? {};
  await appendChanges(platformAddress, [
    { kind: "team_created", team: name, template: "parish", parameters },
    { kind: "key_granted", team: name, digest },
  ]);
  return { name, key, keyId: `key-${digest.slice(0, 24)}` };
}

/** Proposes a change to a daemon; returns status and body. */
export async function proposeChange(
  daemon: Daemon,
  change: Readonly<Record<string, unknown>>,
): Promise<{ readonly status: number; readonly body: unknown }> {
  const url = `http://${daemon.operatorsAddress}/operator/v1/changes`;
  const { statusCode, body } = await request(url, {
    method: "POST",
    headers: {
      authorization: `Bearer ${OPERATOR_KEY}`,
      "content-type": "application/json",
    },
    body: JSON.stringify(change),
  });
  return { status: statusCode, body: await body.json() };
}

async function appendChanges(
  platformAddress: string,
  changes: readonly Readonly<Record<string, unknown>>[],
): Promise<void> {
  const baseUrl = `http://${platformAddress}`;
  const platform = createPlatformClient({ baseUrl, timeoutMs: 5000 });
  const records = changes.map((change) => ({
    recordId: randomUUID(),
    ...change,
  }));
  const answer = await platform.append("configuration", records);
  await platform.close();
  if (answer.kind !== "appended") throw new Error(answer.reason);
}

function templateBody({ tokenRatePerSecond, burstTokens }: TeamRate) {
  const route = { service: SERVICE, costTokens: 1 };
  return {
    parameters: {
      tokenRatePerSecond: { default: tokenRatePerSecond },
      burstTokens: { default: burstTokens },
    },
    services: [MODEL, SERVICE],
    models: [MODEL],
    routes: [
      { ...route, path: "/bookings", methods: ["POST"], repeatable: false },
      { ...route, path: "/bookings", methods: ["GET"], repeatable: true },
      {
        ...route,
        path: "/open/info",
        methods: ["GET"],
        repeatable: true,
        open: true,
      },
    ],
  };
}
