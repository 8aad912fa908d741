/**
 * What the requests of a daemon share: its components and ports, and the reasons
 * for which a request is repeated.
 *
 * @module
 */

import type { MemoryBudget } from "@endivebend/byte-buffers";
import type { Clock, Scheduler } from "@endivebend/clock";
import type { ServerPaths } from "@endivebend/forwarding";
import type { CrashGuard } from "./crash_guard.ts";
import type { PlacementContext } from "./placement.ts";
import type {
  DecisionLog,
  PathMetrics,
  ServerClient,
  StreamOrigins,
} from "./ports.ts";
import type { ProcessCheck } from "./process_check.ts";
import type { RequestRun } from "./request_run.ts";
import type { PaceTracker } from "./server_pace.ts";
import type { RoutedRequest } from "./types.ts";
import type { WeightsProbes } from "./weights_probes.ts";

/**
 * Why a request is sent once more: its attempt broke, its server did not run
 * it, its attempt is silent and stays open, or its attempt was withdrawn, as it
 * would have begun on weights that were replaced too long ago.
 */
export type RepeatCause = "broken" | "not_run" | "silent" | "withdrawn";

/** Dependencies and state that all requests share. */
export interface RequestContext extends PlacementContext {
  /** Learns the pace of servers from attempts. */
  readonly pace?: PaceTracker | undefined;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly client: ServerClient;
  readonly crashGuard: CrashGuard;
  readonly paths: ServerPaths;
  readonly processCheck: Pick<ProcessCheck, "isFresh" | "check">;
  readonly log: DecisionLog;
  readonly metrics: PathMetrics;
  /** What the daemon may hold of messages, over all requests. */
  readonly memory: MemoryBudget;
  readonly weightsProbes: WeightsProbes;
  readonly streamOrigins: StreamOrigins;
  /** Takes one repeat from the shared budget; false when it is used up. */
  tryRetry(request: RoutedRequest, cause: RepeatCause): boolean;
  /** Called once for each repeat taken: it has arrived, or will not. */
  settleRetry(request: RoutedRequest): void;
  /** Called once, when the request has ended. */
  ended(
    request: RoutedRequest,
    outcome: { readonly run: RequestRun; readonly hasRun: boolean },
  ): void;
}
