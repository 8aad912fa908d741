/**
 * Selects the engine of an attempt and waits for a slot in its queue.
 *
 * @module
 */

import { isEndivebendError } from "@endivebend/errors";
import type { TraceSpan, Tracing } from "@endivebend/telemetry";
import type {
  AttemptId,
  BackendServerId,
  RequestId,
  TeamId,
  WeightsVersion,
} from "@endivebend/types";
import type { ModelRequest } from "../callers/model_request.ts";
import type { Clock, Scheduler } from "../ports.ts";
import type { EngineSelector, Selection } from "./engine_selector.ts";
import type { AcquireSlotResult, HeldSlot, SlotClient } from "./slot_client.ts";

/** How often a long queue may send a request back to select again. */
const MAX_MOVES = 2;
/** Extra wait accepted, as moving costs messages and the queue position. */
const QUEUE_WAIT_MARGIN_MS = 50;
/** Interval between selections while no engine takes new work. */
const ENGINE_POLL_INTERVAL_MS = 100;

/** Dependencies of {@link placeAttempt}. */
export interface PlacementContext {
  readonly selector: EngineSelector;
  readonly slots: SlotClient;
  readonly tracing: Tracing;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
}

/** The attempt to place. */
export interface PlacementInput {
  readonly requestId: RequestId;
  readonly attemptId: AttemptId;
  readonly team: TeamId;
  readonly request: ModelRequest;
  readonly span: TraceSpan;
  readonly weightsVersion: WeightsVersion | undefined;
  readonly avoidedEngines: ReadonlySet<BackendServerId>;
  /** End of the wait for an engine and its slot together. */
  readonly deadlineElapsedMs: number;
  /** Aborts the wait. */
  readonly signal: AbortSignal;
}

/** An engine with its slot, which the caller of the function must release. */
export interface PlacedAttempt {
  readonly selection: Selection;
  readonly slot: HeldSlot;
}

/**
 * Selects an engine and waits for its slot. The selection uses delayed data, so
 * the engine's watcher may send the request back with the current load, and the
 * engine may have restarted while the request waited; both select again. Throws
 * `no_backend_server`, `queue_full` or `deadline_exceeded`; the request has not
 * run in any of these cases.
 */
export async function placeAttempt(
  context: PlacementContext,
  input: PlacementInput,
): Promise<PlacedAttempt> {
  for (let moves = 0;; moves++) {
    const selection = await selectUntilDeadline(context, input);
    const slot = await acquireSlot(context, { input, selection, moves });
    if (slot.kind === "moved") continue;
    if (context.selector.isCurrent(selection)) return { selection, slot };
    slot.release();
  }
}

/** Polls, as restarting or suspected engines usually return shortly. */
async function selectUntilDeadline(
  context: PlacementContext,
  input: PlacementInput,
): Promise<Selection> {
  const { clock, scheduler, selector } = context;
  const { model, promptText, promptTokens } = input.request;
  while (true) {
    try {
      const prompt = { model, promptText, promptTokens };
      return await selector.select({ ...input, ...prompt });
    } catch (caught) {
      const hasNoEngine = isEndivebendError(caught) &&
        caught.code === "no_backend_server";
      const remainingMs = input.deadlineElapsedMs - clock.elapsedMs();
      const mustStop = input.signal.aborted ||
        remainingMs < ENGINE_POLL_INTERVAL_MS;
      if (!hasNoEngine || mustStop) throw caught;
      await new Promise<void>((resolve) => {
        scheduler.after(ENGINE_POLL_INTERVAL_MS, resolve);
      });
    }
  }
}

async function acquireSlot(
  context: PlacementContext,
  options: {
    readonly input: PlacementInput;
    readonly selection: Selection;
    readonly moves: number;
  },
): Promise<AcquireSlotResult> {
  const { input, selection, moves } = options;
  const { plan } = selection;
  const span = context.tracing.startSpan("queue", {
    parent: input.span,
    attributes: { "engine.id": plan.engine },
  });
  try {
    const slot = await context.slots.acquire(selection.entry, {
      engine: plan.engine,
      // A resumed attempt must not share the slot of the attempt before it.
      requestId: `${input.requestId}/${input.attemptId}` as RequestId,
      team: input.team,
      costTokens: Math.max(1, plan.prefillTokens),
      prefillTokens: plan.prefillTokens,
      deadlineElapsedMs: input.deadlineElapsedMs,
      signal: input.signal,
      maxQueueMs: moves < MAX_MOVES
        ? plan.maxWaitMs + QUEUE_WAIT_MARGIN_MS
        : Infinity,
    });
    span.end();
    return slot;
  } catch (caught) {
    span.end(caught);
    throw caught;
  }
}
