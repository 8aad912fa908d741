/**
 * Sends one call and times it.
 *
 * @module
 */

import type { Dispatcher } from "undici";
import type { Ending, Outcome } from "./outcome.ts";
import { isConnectFailure, type Rotation, type Target } from "./rotation.ts";

/** After this a call counts as lost; daemons refuse or resume much sooner. */
export const CALL_DEADLINE_MS = 20_000;
const MAX_CONNECT_ATTEMPTS = 20;
const CONNECT_RETRY_DELAY_MS = 50;

/** What to send, and how to read its answer. */
export interface CallPlan {
  readonly call: Outcome["call"];
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
  /** The daemon to call; any in rotation without it. */
  readonly target?: Target | undefined;
  /** Reads the answer; a thrown error counts as a broken connection. */
  readonly read: (
    answer: Dispatcher.ResponseData,
    startedAtMs: number,
  ) => Promise<Ending>;
}

/** Sends a call; refused connections go to another daemon. Never throws. */
export async function sendCall(
  rotation: Rotation,
  plan: CallPlan,
): Promise<Outcome> {
  const signal = AbortSignal.timeout(CALL_DEADLINE_MS);
  const startedAtMs = performance.now();
  let target = plan.target ?? rotation.pick();
  for (let attempt = 1;; attempt++) {
    try {
      const ending = await exchange(target, { plan, signal, startedAtMs });
      return finish(ending, { plan, target, startedAtMs });
    } catch (caught) {
      const mayRetry = isConnectFailure(caught) && !signal.aborted &&
        plan.target === undefined && attempt < MAX_CONNECT_ATTEMPTS;
      if (!mayRetry) {
        const ending = endingOf(caught, { signal, target });
        return finish(ending, { plan, target, startedAtMs });
      }
    }
    rotation.takeOut(target);
    target = rotation.pick();
    await new Promise((go) => setTimeout(go, CONNECT_RETRY_DELAY_MS));
  }
}

async function exchange(
  target: Target,
  options: {
    readonly plan: CallPlan;
    readonly signal: AbortSignal;
    readonly startedAtMs: number;
  },
): Promise<Ending> {
  const { plan, signal, startedAtMs } = options;
  const answer = await target.pool.request({
    path: plan.path,
    method: plan.method,
    headers: plan.headers,
    body: plan.body ?? null,
    signal,
  });
  return await plan.read(answer, startedAtMs);
}

function endingOf(
  caught: unknown,
  options: { readonly signal: AbortSignal; readonly target: Target },
): Ending {
  const detail = String(caught);
  if (options.signal.aborted) return { kind: "lost", detail };
  if (isConnectFailure(caught)) {
    return { kind: "refused", code: "no_connection", ran: "not_run", detail };
  }
  const { brokenAtMs } = options.target.daemon;
  const isBroken = performance.now() - brokenAtMs < CALL_DEADLINE_MS;
  return { kind: isBroken ? "broken" : "cut", detail };
}

function finish(
  ending: Ending,
  options: {
    readonly plan: CallPlan;
    readonly target: Target;
    readonly startedAtMs: number;
  },
): Outcome {
  const { plan, target, startedAtMs } = options;
  const { vmId } = target.daemon;
  const endedAtMs = performance.now();
  return { ...ending, call: plan.call, vmId, startedAtMs, endedAtMs };
}
