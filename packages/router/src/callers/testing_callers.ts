/**
 * Helpers for tests that send callers' requests over raw connections.
 *
 * @module
 */

import { RawConnection, rawRequest } from "../http/testing_socket.ts";
import {
  TEST_OPERATOR_KEY,
  type TestDeployment,
} from "../testing_deployment.ts";

/** Resolves once the condition holds. Only the test's timeout ends the wait. */
export async function waitUntil(
  holds: () => boolean | Promise<boolean>,
): Promise<void> {
  while (!(await holds())) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Connects to the callers' listener of a daemon. */
export function connectCaller(
  deployment: TestDeployment,
  daemon = 0,
): Promise<RawConnection> {
  const { callers } = deployment.daemons[daemon]!.addresses;
  return RawConnection.open(callers);
}

/** The text of a completion request over HTTP/1.1. */
export function rawCompletion(
  key: string,
  fields: Readonly<Record<string, unknown>>,
): string {
  return rawRequest("POST /v1/completions", {
    headers: [`authorization: Bearer ${key}`],
    body: JSON.stringify({ model: "chime-llm", prompt: "Ring", ...fields }),
  });
}

// deno-lint-ignore no-explicit-any
async function readJson(address: string, path: string): Promise<any> {
  const answer = await fetch(`http://${address}${path}`);
  return await answer.json();
}

/** Number of requests that are running at the engines of a deployment. */
export async function runningRequests(
  deployment: TestDeployment,
): Promise<number> {
  const loads = await Promise.all(
    deployment.engines.map(({ address }) => readJson(address, "/v1/load")),
  );
  return loads.reduce((sum, { runningRequests }) => sum + runningRequests, 0);
}

/** The status of a daemon, from its operators' listener. */
export async function readStatus(
  deployment: TestDeployment,
  daemon = 0,
  // deno-lint-ignore no-explicit-any
): Promise<any> {
  const { operators } = deployment.daemons[daemon]!.addresses;
  const headers = { authorization: `Bearer ${TEST_OPERATOR_KEY}` };
  const url = `http://${operators}/operator/v1/status`;
  return await (await fetch(url, { headers })).json();
}
