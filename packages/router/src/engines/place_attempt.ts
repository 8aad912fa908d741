/**
 * Finds the engine of an attempt and waits for its slot there.
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

/** A request is sent back for a queue's length at most this often. */
const MAX_MOVES = 2;
/** Moving costs messages and the place in the queue. */
const QUEUE_WAIT_MARGIN_MS = 50;
/** How often engines are looked for while none takes new work. */
const ENGINE_POLL_INTERVAL_MS = 100;

/** What the placement needs of its neighbours. */
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
  /** When waiting ends, for an engine and for its slot together. */
  readonly deadlineElapsedMs: number;
  /** Ends the wait. */
  readonly signal: AbortSignal;
}

/** An engine with its slot, which the receiver must release. */
export interface PlacedAttempt {
  readonly selection: Selection;
  readonly slot: HeldSlot;
}

/**
 * Chooses an engine and waits for its slot. What the choice was made from is
 * late, so the engine's watcher may send the request back with the present
 * load, and the engine may have restarted while the request waited. Throws
 * `no_backend_server`, `queue_full` or `deadline_exceeded`; none of them ran.
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

/** Engines that restart or are suspect come back within a moment. */
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
      // A resumed attempt must not meet the slot of the one before.
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
