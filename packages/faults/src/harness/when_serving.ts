/**
 * Waits until a fleet that started for the first time serves calls: its VMs
 * must first agree who charges which teams.
 *
 * @module
 */

import { request } from "undici";
import type { Daemon } from "./daemon.ts";
import { MODEL, type Team } from "./operator.ts";

const LIMIT_MS = 15_000;
const POLL_MS = 100;

/** Resolves when the daemon answers a short completion. */
export async function whenServing(daemon: Daemon, team: Team): Promise<void> {
  const deadlineMs = performance.now() + LIMIT_MS;
  while (true) {
    const refusal = await tryCompletion(daemon, team);
    if (refusal === undefined) return;
    if (performance.now() > deadlineMs) {
      throw new Error(`${daemon.vmId} does not serve: ${refusal}`);
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

async function tryCompletion(
  daemon: Daemon,
  team: Team,
): Promise<string | undefined> {
  const url = `http://${daemon.callersAddress}/v1/completions`;
  const { statusCode, body } = await request(url, {
    method: "POST",
    headers: {
      authorization: `Bearer ${team.key}`,
      "content-type": "application/json",
    },
    body: JSON.stringify({ model: MODEL, prompt: "Ready?", max_tokens: 1 }),
  });
  const text = await body.text();
  return statusCode === 200 ? undefined : text;
}
