/**
 * Running one stand-in as a process.
 *
 * @module
 */

import { startCacheStore } from "./cache_store/cache_store.ts";
import { startEngine } from "./engine/engine.ts";
import { startPlatform } from "./platform/platform.ts";
import { startService } from "./service/bookings.ts";
import type { StandIn } from "./stand_in_server.ts";

/** The kinds of stand-ins by the names that the command line takes. */
const STARTERS = {
  platform: startPlatform,
  engine: startEngine,
  "cache-store": startCacheStore,
  service: startService,
} as const;

/** A kind of stand-in. */
export type StandInKind = keyof typeof STARTERS;

/** All kinds. */
export const STAND_IN_KINDS = Object.keys(STARTERS) as readonly StandInKind[];

/**
 * Starts a stand-in, prints one JSON line with its addresses, and ends it on
 * SIGTERM or SIGINT. Resolves when it has ended.
 *
 * @example
 * ```ts
 * await runStandIn("engine", { port: 0, decodeMsPerToken: 2 });
 * // {"address":"127.0.0.1:40001","controlAddress":"127.0.0.1:40002"}
 * ```
 */
export async function runStandIn(
  kind: StandInKind,
  options: Readonly<Record<string, unknown>> = {},
): Promise<void> {
  const start = STARTERS[kind] as (options: object) => Promise<StandIn>;
  const standIn = await start(options);
  const { address, controlAddress } = standIn;
  process.stdout.write(`${JSON.stringify({ address, controlAddress })}\n`);
  await waitForStopSignal();
  await standIn.close();
}

function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once("SIGTERM", () => resolve());
    process.once("SIGINT", () => resolve());
  });
}
