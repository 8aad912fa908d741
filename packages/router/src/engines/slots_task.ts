/**
 * Keeps the fair queues of the engines that this VM watches, and of engines
 * whose watcher does not answer.
 *
 * @module
 */

import { createError } from "@endivebend/errors";
import { FairQueue, type Permit } from "@endivebend/queueing";
import type { BackendServerId, RequestId, TeamId } from "@endivebend/types";
import type { Clock, Metrics, Scheduler } from "../ports.ts";

/** One request for a slot. */
export interface SlotRequest {
  readonly engine: BackendServerId;
  readonly requestId: RequestId;
  readonly team: TeamId;
  readonly costTokens: number;
  readonly prefillTokens: number;
  readonly deadlineElapsedMs: number;
  /** Expected wait, in ms, above which the request selects another engine. */
  readonly maxQueueMs: number;
  /** Aborted when the slot is not needed any more. */
  readonly signal?: AbortSignal;
}

/** A granted slot, or `moved`: the request must select an engine again. */
export type SlotAnswer =
  | { readonly kind: "granted"; readonly enginePriority: number }
  | { readonly kind: "moved" };

interface Waiter {
  readonly resolve: (answer: SlotAnswer) => void;
  readonly reject: (error: Error) => void;
}

interface EngineQueue {
  readonly queue: FairQueue;
  readonly waiters: Map<RequestId, Waiter>;
  cancelWake: () => void;
}

/** Dependencies of {@link SlotsTask}. */
export interface SlotsTaskOptions {
  readonly takesNewWork: (engine: BackendServerId) => boolean;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly metrics: Metrics;
}

/** The engine queues of this VM. */
export class SlotsTask {
  readonly #options: SlotsTaskOptions;
  readonly #queues = new Map<BackendServerId, EngineQueue>();

  constructor(options: SlotsTaskOptions) {
    this.#options = options;
  }

  /**
   * Waits in the engine's queue. Throws `queue_full` at once, or
   * `deadline_exceeded` when the deadline passes; the request has not run in
   * either case.
   */
  acquire(request: SlotRequest): Promise<SlotAnswer> {
    const { signal } = request;
    if (signal?.aborted) return Promise.reject(signal.reason);
    const engineQueue = this.#queueFor(request.engine);
    const nowMs = this.#options.clock.elapsedMs();
    const entry = {
      requestId: request.requestId,
      team: request.team,
      costTokens: request.costTokens,
      prefillTokens: request.prefillTokens,
      deadlineMs: request.deadlineElapsedMs,
    };
    const waitMs = engineQueue.queue.expectedWaitMs(entry, nowMs);
    const canMove = request.maxQueueMs !== Infinity;
    const takesNewWork = this.#options.takesNewWork(request.engine);
    if (canMove && (waitMs > request.maxQueueMs || !takesNewWork)) {
      this.#options.metrics.increment("queue.moved");
      return Promise.resolve({ kind: "moved" });
    }
    const result = engineQueue.queue.enqueue(entry, nowMs);
    if (result.kind === "refused") {
      this.#options.metrics.increment("queue.refused", { code: result.code });
      const message =
        "The engine's queue is full for the team or too long for the deadline";
      const { retryAfterMs } = result;
      return Promise.reject(
        createError(result.code, message, { retryAfterMs }),
      );
    }
    return this.#wait(engineQueue, request);
  }

  #wait(engineQueue: EngineQueue, request: SlotRequest): Promise<SlotAnswer> {
    const { requestId, signal } = request;
    return new Promise((resolve, reject) => {
      const onAbort = () => {
        if (!engineQueue.waiters.has(requestId)) return;
        this.release(request.engine, requestId);
        reject(signal?.reason);
      };
      engineQueue.waiters.set(requestId, { resolve, reject });
      signal?.addEventListener("abort", onAbort, { once: true });
      this.#dispatchReady(request.engine);
    });
  }

  /** Removes a waiting request, or releases its slot. */
  release(engineId: BackendServerId, requestId: RequestId): void {
    const engineQueue = this.#queues.get(engineId);
    if (engineQueue === undefined) return;
    engineQueue.queue.cancel(requestId);
    engineQueue.queue.release(requestId);
    engineQueue.waiters.delete(requestId);
    this.#dispatchReady(engineId);
  }

  /** Called when the first token has arrived. */
  markPrefilled(engineId: BackendServerId, requestId: RequestId): void {
    const queue = this.#queues.get(engineId)?.queue;
    queue?.markPrefilled(requestId, this.#options.clock.elapsedMs());
    this.#dispatchReady(engineId);
  }

  /** Prefill tokens queued or being prefilled; undefined without a queue. */
  queuedPrefillTokens(engineId: BackendServerId): number | undefined {
    const queue = this.#queues.get(engineId)?.queue;
    if (queue === undefined) return undefined;
    const nowMs = this.#options.clock.elapsedMs();
    return queue.waitingTokens + queue.remainingPrefillTokens(nowMs);
  }

  /** Number of waiting requests per engine, for `status`. */
  waitingCounts(): Readonly<Record<string, number>> {
    const counts = [...this.#queues].map(([id, { queue }]) =>
      [id, queue.waitingCount] as const
    );
    return Object.fromEntries(counts);
  }

  /** Rejects all requests that wait for an engine that takes no new work. */
  failWaiting(engineId: BackendServerId): void {
    const engineQueue = this.#queues.get(engineId);
    if (engineQueue === undefined) return;
    for (const [requestId, waiter] of engineQueue.waiters) {
      engineQueue.queue.cancel(requestId);
      const message =
        "The engine takes no new work any more; its queue was cleared";
      waiter.reject(
        createError("no_backend_server", message, { ran: "not_run" }),
      );
    }
    engineQueue.waiters.clear();
  }

  #dispatchReady(engineId: BackendServerId): void {
    const engineQueue = this.#queues.get(engineId);
    if (engineQueue === undefined) return;
    const nowMs = this.#options.clock.elapsedMs();
    const takesNewWork = this.#options.takesNewWork(engineId);
    const plan = engineQueue.queue.grantPermits(nowMs, { takesNewWork });
    for (const permit of plan.permits) this.#grant(engineQueue, permit);
    for (const { requestId } of plan.expired) {
      this.#expire(engineQueue, requestId);
    }
    this.#scheduleWake(engineId, engineQueue);
  }

  #grant(engineQueue: EngineQueue, permit: Permit): void {
    const waiter = engineQueue.waiters.get(permit.requestId);
    engineQueue.waiters.delete(permit.requestId);
    const { enginePriority } = permit;
    waiter?.resolve({ kind: "granted", enginePriority });
  }

  #expire(engineQueue: EngineQueue, requestId: RequestId): void {
    const waiter = engineQueue.waiters.get(requestId);
    engineQueue.waiters.delete(requestId);
    this.#options.metrics.increment("queue.expired");
    const message =
      "The deadline passed while the request waited in the engine's queue";
    waiter?.reject(
      createError("deadline_exceeded", message, { retryAfterMs: 1000 }),
    );
  }

  #scheduleWake(engineId: BackendServerId, engineQueue: EngineQueue): void {
    engineQueue.cancelWake();
    const nowMs = this.#options.clock.elapsedMs();
    const wakeAtMs = engineQueue.queue.nextWakeMs(nowMs);
    if (wakeAtMs === undefined) {
      engineQueue.cancelWake = () => {};
      return;
    }
    const delayMs = Math.max(1, wakeAtMs - nowMs);
    const wake = () => this.#dispatchReady(engineId);
    engineQueue.cancelWake = this.#options.scheduler.after(delayMs, wake);
  }

  #queueFor(engineId: BackendServerId): EngineQueue {
    const existing = this.#queues.get(engineId);
    if (existing !== undefined) return existing;
    const engineQueue = {
      queue: new FairQueue(),
      waiters: new Map<RequestId, Waiter>(),
      cancelWake: () => {},
    };
    this.#queues.set(engineId, engineQueue);
    return engineQueue;
  }
}
