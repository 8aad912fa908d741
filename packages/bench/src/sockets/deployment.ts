/**
 * One router with engines as processes, for measurements over real sockets.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { ManagedProcess } from "@endivebend/faults";
import { request } from "undici";

const COMMAND = fileURLToPath(
  new URL("../../../cli/bin/endivebend.js", import.meta.url),
);
const START_TIMEOUT_MS = 60_000;
const OPERATOR_KEY = "measurement-operator-key";
const MODEL = "chime-llm";
/** Far above what one router can reach, so that no request is refused. */
const RATE_TOKENS_PER_SECOND = 1_000_000_000;

/** A running deployment. */
export interface SocketDeployment {
  /** Callers' listener of the router. */
  readonly router: string;
  readonly routerProcess: ManagedProcess;
  readonly engines: readonly string[];
  readonly key: string;
  close(): Promise<void>;
}

interface Started {
  readonly process: ManagedProcess;
  readonly line: Readonly<Record<string, string>>;
}

async function start(
  name: string,
  options: {
    readonly args: readonly string[];
    readonly nodeOptions?: readonly string[];
  },
): Promise<Started> {
  const args = [...(options.nodeOptions ?? []), COMMAND, ...options.args];
  const process = new ManagedProcess({ name, args, logDirectory: undefined });
  process.start();
  const line = await process.waitForLine((text) => {
    if (!text.startsWith("{") || text.includes('"level"')) return undefined;
    return JSON.parse(text) as Record<string, string>;
  }, START_TIMEOUT_MS);
  return { process, line };
}

async function send(
  address: string,
  options: { readonly path: string; readonly body: unknown },
): Promise<Record<string, unknown>> {
  const { body } = await request(`http://${address}${options.path}`, {
    method: "POST",
    headers: { authorization: `Bearer ${OPERATOR_KEY}` },
    body: JSON.stringify(options.body),
  });
  const text = await body.text();
  return text === "" ? {} : JSON.parse(text) as Record<string, unknown>;
}

async function createKey(operators: string): Promise<string> {
  const change = (body: unknown) =>
    send(operators, { path: "/operator/v1/changes", body });
  const rate = { default: RATE_TOKENS_PER_SECOND };
  await change({
    kind: "template_published",
    template: "measured",
    body: {
      parameters: { tokenRatePerSecond: rate, burstTokens: rate },
      services: [MODEL],
      models: [MODEL],
    },
  });
  await change({ kind: "team_created", team: "team", template: "measured" });
  const granted = await change({ kind: "key_granted", team: "team" });
  return String(granted.secret);
}

function routerSettings(platform: string) {
  const listener = { host: "127.0.0.1", port: 0 };
  const sha256 = createHash("sha256").update(OPERATOR_KEY).digest("hex");
  return {
    vmId: "vm-1",
    failureDomain: "a",
    fleet: { failureDomains: ["a"], region: "loopback" },
    listen: { callers: listener, operators: listener, peers: listener },
    platform: { address: platform },
    peers: { sharedKey: "shared-key-of-the-measurement-32-characters" },
    operators: { keys: [{ name: "measurement", sha256 }] },
    log: { level: "warn" },
  };
}

/** Starts a platform, engines that answer at once, and one router. */
export async function startSocketDeployment(options: {
  readonly engines: number;
  readonly routerNodeOptions?: readonly string[];
}): Promise<SocketDeployment> {
  const directory = mkdtempSync(join(tmpdir(), "endivebend-bench-"));
  const platform = await start("platform", { args: ["stand-in", "platform"] });
  const engines = await Promise.all(
    Array.from(
      { length: options.engines },
      (_, index) =>
        start(`engine-${index}`, {
          args: [
            ...["stand-in", "engine", "--set", `model=${MODEL}`],
            ...["--set", "maxBatch=256"],
          ],
        }),
    ),
  );
  const set_vms = engines.map(({ line }, index) => ({
    vmId: `engine-${index}`,
    role: "engine",
    state: "live",
    address: line.address,
    failureDomain: "a",
    service: MODEL,
  }));
  const { controlAddress = "", address = "" } = platform.line;
  await send(controlAddress, { path: "/control", body: { set_vms } });
  const file = join(directory, "settings.json");
  writeFileSync(file, JSON.stringify(routerSettings(address)));
  const router = await start("router", {
    args: ["serve", "--settings", file],
    nodeOptions: options.routerNodeOptions ?? [],
  });
  const processes = [router, platform, ...engines].map((one) => one.process);
  return {
    router: router.line.callers ?? "",
    routerProcess: router.process,
    engines: engines.map(({ line }) => line.address ?? ""),
    key: await createKey(router.line.operators ?? ""),
    async close() {
      await Promise.all(processes.map((one) => one.stop(START_TIMEOUT_MS)));
      rmSync(directory, { recursive: true });
    },
  };
}
