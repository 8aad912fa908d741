/**
 * Acquires slots from an engine's watcher, or from the queue of this VM when it
 * is the watcher itself or the watcher does not answer.
 *
 * @module
 */

import { createError, ERROR_DETAILS, type ErrorCode } from "@endivebend/errors";
import type {
  EngineLoad as EngineLoadMessage,
  PeerClients,
  PeerHandlers,
} from "@endivebend/peers";
import {
  type BackendServerId,
  brandId,
  type RequestId,
  type TeamId,
  type VmEntry,
  type VmId,
} from "@endivebend/types";
import type { Clock, Identity, Metrics, Scheduler } from "../ports.ts";
import { decodeEngineLoad, encodeEngineLoad } from "../peering/engine_loads.ts";
import type { EngineDirectory } from "./engine_directory.ts";
import { watcherOf } from "./ownership.ts";
import type { SlotRequest, SlotsTask } from "./slots_task.ts";

/** Time for the watcher's answer beyond the wait that the request allows. */
const ANSWER_MARGIN_MS = 250;
/** Limit of the wait in one call, so that a silent watcher is detected. */
const MAX_CALL_MS = 5000;
const SILENCE_CHECK_MS = 500;
/** Above the 2 s in which every peer is asked, even in a large fleet. */
const WATCHER_SILENCE_TIMEOUT_MS = 2500;

/** A granted slot. */
export interface HeldSlot {
  readonly kind: "granted";
  readonly enginePriority: number;
  markPrefilled(): void;
  release(): void;
}

/** A slot, or `moved`: select again, with the load learned by this call. */
export type AcquireSlotResult = HeldSlot | { readonly kind: "moved" };

/** Dependencies of {@link SlotClient}. */
export interface SlotClientOptions {
  readonly identity: Identity;
  readonly entryVms: () => readonly VmEntry[];
  /** Milliseconds since an entry VM last answered an exchange. */
  readonly silenceMs: (vmId: VmId) => number;
  readonly scheduler: Scheduler;
  readonly slots: SlotsTask;
  readonly directory: EngineDirectory;
  readonly peers: PeerClients;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** Acquires slots from local and remote queues. */
export class SlotClient {
  readonly #options: SlotClientOptions;

  constructor(options: SlotClientOptions) {
    this.#options = options;
  }

  /**
   * Waits for a slot at the engine's watcher or in the local queue. Throws
   * `queue_full` or `deadline_exceeded`; the request has not run in either case.
   */
  async acquire(
    engine: VmEntry,
    request: SlotRequest,
  ): Promise<AcquireSlotResult> {
    const watcher = watcherOf(engine, this.#options.entryVms());
    const isLocal = watcher === undefined ||
      watcher.vmId === this.#options.identity.vmId || this.#isSilent(watcher);
    if (isLocal) return await this.#acquireLocally(request);
    const silenceWatch = this.#watchSilence(watcher, request.signal);
    try {
      const signal = silenceWatch.signal;
      const remote = await this.#acquireRemotely(watcher, {
        ...request,
        signal,
      });
      return remote ?? await this.#acquireLocally(request);
    } catch (caught) {
      // The engine may be behind the same partition, so select again.
      if (silenceWatch.isSilent()) return { kind: "moved" };
      throw caught;
    } finally {
      silenceWatch.end();
    }
  }

  #isSilent(watcher: VmEntry): boolean {
    return this.#options.silenceMs(watcher.vmId) > WATCHER_SILENCE_TIMEOUT_MS;
  }

  /**
   * Aborts a wait when its watcher becomes silent. A wait of several seconds is
   * legitimate, so the timeout of the call is too long to detect a partition.
   */
  #watchSilence(watcher: VmEntry, signal: AbortSignal | undefined) {
    const controller = new AbortController();
    let isSilent = false;
    const abort = () => controller.abort();
    signal?.addEventListener("abort", abort);
    if (signal?.aborted) abort();
    let cancel = () => {};
    const check = () => {
      isSilent = this.#isSilent(watcher);
      if (isSilent) return abort();
      cancel = this.#options.scheduler.after(SILENCE_CHECK_MS, check);
    };
    cancel = this.#options.scheduler.after(SILENCE_CHECK_MS, check);
    return {
      signal: controller.signal,
      isSilent: () => isSilent,
      end() {
        cancel();
        signal?.removeEventListener("abort", abort);
      },
    };
  }

  async #acquireLocally(request: SlotRequest): Promise<AcquireSlotResult> {
    const { slots } = this.#options;
    const answer = await slots.acquire(request);
    if (answer.kind === "moved") return answer;
    return {
      ...answer,
      markPrefilled: () =>
        slots.markPrefilled(request.engine, request.requestId),
      release: () => slots.release(request.engine, request.requestId),
    };
  }

  #recordLoad(message: EngineLoadMessage): void {
    const { load, ageMs } = decodeEngineLoad(message);
    this.#options.directory.recordLoad(load, ageMs);
  }

  async #acquireRemotely(
    watcher: VmEntry,
    request: SlotRequest,
  ): Promise<AcquireSlotResult | undefined> {
    const { clock, metrics, peers } = this.#options;
    const client = peers.at(watcher.address);
    const remainingMs = request.deadlineElapsedMs - clock.elapsedMs();
    const waitMs = Math.max(0, Math.min(remainingMs, MAX_CALL_MS));
    const permit = request.requestId;
    const release = (prefillDone: boolean) => {
      const backendServerId = request.engine;
      client.releaseSlot({ permit, backendServerId, prefillDone })
        .catch(() => metrics.increment("slot.release_failures"));
    };
    try {
      const answer = await client.acquireSlot({
        backendServerId: request.engine,
        team: request.team,
        costTokens: BigInt(Math.ceil(request.costTokens)),
        prefillTokens: BigInt(Math.ceil(request.prefillTokens)),
        waitMs: Math.round(waitMs),
        requestId: request.requestId,
        ...queueLimitField(request),
      }, {
        timeoutMs: waitMs + ANSWER_MARGIN_MS,
        ...(request.signal === undefined ? {} : { signal: request.signal }),
      });
      if (answer.notWatcher) return undefined;
      if (answer.load !== undefined) this.#recordLoad(answer.load);
      if (answer.moved) return { kind: "moved" };
      if (answer.permit === "") throw createRefusal(answer);
      const { enginePriority } = answer;
      return {
        kind: "granted",
        enginePriority,
        markPrefilled: () => release(true),
        release: () => release(false),
      };
    } catch (caught) {
      if (isRefusal(caught)) throw caught;
      release(false);
      // The wait was aborted here, so the watcher has not failed.
      if (request.signal?.aborted) throw caught;
      metrics.increment("slot.watcher_failures");
      return undefined;
    }
  }
}

function queueLimitField(
  request: SlotRequest,
): { readonly maxQueueMs?: number } {
  if (request.maxQueueMs === Infinity) return {};
  return { maxQueueMs: Math.ceil(request.maxQueueMs) };
}

function createRefusal(
  answer: { readonly code: string; readonly retryAfterMs: number },
) {
  const code: ErrorCode = answer.code in ERROR_DETAILS
    ? answer.code as ErrorCode
    : "queue_full";
  const message =
    "The engine's queue is full for the team or too long for the deadline";
  return createError(code, message, { retryAfterMs: answer.retryAfterMs });
}

function isRefusal(caught: unknown): boolean {
  return (caught as { readonly remedy?: unknown }).remedy !== undefined;
}

/** Creates the handlers of the peer calls that a watcher answers. */
export function createSlotHandlers(options: {
  readonly slots: SlotsTask;
  readonly directory: EngineDirectory;
  readonly clock: Clock;
}): Pick<PeerHandlers, "acquireSlot" | "releaseSlot"> {
  const { slots, clock, directory } = options;
  return {
    async acquireSlot(request, context) {
      const engine = brandId<BackendServerId>(request.backendServerId);
      const requestId = brandId<RequestId>(request.requestId);
      try {
        const answer = await slots.acquire({
          engine,
          requestId,
          team: brandId<TeamId>(request.team),
          costTokens: Number(request.costTokens),
          prefillTokens: Number(request.prefillTokens),
          deadlineElapsedMs: clock.elapsedMs() + request.waitMs,
          maxQueueMs: request.maxQueueMs ?? Infinity,
          // Also aborted after the answer, which must not release the slot.
          signal: context.signal,
        });
        const load = encodeEngineLoad(engine, { directory, clock });
        const loadField = load === undefined ? {} : { load };
        if (answer.kind === "moved") return { moved: true, ...loadField };
        const { enginePriority } = answer;
        return { permit: requestId, enginePriority, ...loadField };
      } catch (caught) {
        const { code, retryAfterMs } = caught as {
          readonly code?: string;
          readonly retryAfterMs?: number;
        };
        return {
          permit: "",
          code: code ?? "queue_full",
          retryAfterMs: Math.ceil(retryAfterMs ?? 1000),
        };
      }
    },
    releaseSlot(request) {
      const engine = brandId<BackendServerId>(request.backendServerId);
      const requestId = brandId<RequestId>(request.permit);
      if (request.prefillDone) slots.markPrefilled(engine, requestId);
      else slots.release(engine, requestId);
      return {};
    },
  };
}
