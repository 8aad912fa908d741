/**
 * Forwards a request of another VM that does not reach its servers. The other
 * VM has chosen the server, charged the request to its team and to the server's
 * limit, and decides on retries. This VM sends the request on once, and records
 * what the answer shows of the server, as it does for its own requests.
 *
 * @module
 */

import { type Clock, type Scheduler, steadyMs } from "@endivebend/clock";
import type { ServerPaths } from "@endivebend/forwarding";
import { BEGINS_TOO_LATE } from "./begin_bound.ts";
import type { CrashGuard, RequestSuspects } from "./crash_guard.ts";
import type { ProcessCheck } from "./process_check.ts";
import type {
  AnswerHead,
  AttemptFailure,
  AttemptHandle,
  AttemptListener,
  ForwardOrder,
  ServerClient,
} from "./ports.ts";
import { type AnswerRecords, recordAnswerHead } from "./record_answer.ts";
import type { KnownServer } from "./server_registry.ts";
import { UNANSWERED_MS } from "./silence_timeout.ts";

/** Dependencies of all forwarded requests. */
export interface ForwardContext extends AnswerRecords {
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly client: Pick<ServerClient, "forward" | "closeIdleConnections">;
  readonly paths: ServerPaths;
  readonly crashGuard: CrashGuard;
  readonly processCheck: Pick<ProcessCheck, "isFresh" | "check">;
  /** Whether the daemon is draining before its end. */
  isLeaving(): boolean;
}

/** The other VM's side of a forwarded request. */
export interface ForwardSink {
  head(head: AnswerHead): void;
  /** False when the other VM reads too slowly; `resume` follows. */
  data(chunk: Buffer): boolean;
  end(): void;
  /** Not called after `end`; the answer must not look complete. */
  failed(failure: AttemptFailure): void;
}

/** A forwarded request. */
export interface ForwardedRun {
  /** The other VM accepts data again. */
  resume(): void;
  /** The other VM has given the request up. */
  abort(): void;
}

/**
 * Requests that a VM forwards at a time. The smallest VM has 0.3 of a core and
 * 178 MB, and callers of its own.
 */
const MAX_FORWARDED = 192;
/**
 * The other VM withdraws a request that begins too late itself, unless its link
 * to this one is broken; it takes up to 100 ms.
 */
const WITHDRAW_GRACE_MS = 150;
/** A connection is taken as alive if its server sent data this recently. */
const CONNECTION_FRESH_MS = 1_000;

const NOTHING_RUNS = { pause() {}, resume() {}, abort() {} };

/** Forwards requests of other VMs. */
export class ForwardedRuns {
  readonly #context: ForwardContext;
  #openCount = 0;

  constructor(context: ForwardContext) {
    this.#context = context;
  }

  /** Requests that are being forwarded. */
  get openCount(): number {
    return this.#openCount;
  }

  /**
   * Forwards a request, or tells the sink why nothing has been sent on.
   *
   * @example
   * ```ts
   * const run = forwardedRuns.open(order, sink);
   * connection.once("close", () => run.abort());
   * ```
   */
  open(order: ForwardOrder, sink: ForwardSink): ForwardedRun {
    const server = this.#context.registry.get(order.server.id);
    const refusal = this.#findRefusal(order, server);
    if (server === undefined || refusal !== undefined) {
      this.#refuse({ order, sink }, refusal ?? { reason: "unknown_server" });
      return NOTHING_RUNS;
    }
    return order.expectedStartMs === undefined
      ? this.#send(server, { order, sink })
      : this.#sendOnceChecked(server, { order, sink });
  }

  #refuse({ order, sink }: Forwarding, refusal: ForwardRefusal): void {
    const { log, metrics } = this.#context;
    const { requestId } = order;
    metrics.count("forwarded", { outcome: "refused" });
    log.decision("forward_refused", { requestId, reason: refusal.reason });
    sink.failed({ kind: "unsent", ...refusal });
  }

  /**
   * Sends a request that goes on with a stream once the server has said which
   * process it is: the other VM can't ask, and another process may have started
   * under the same id.
   */
  #sendOnceChecked(server: KnownServer, forwarding: Forwarding): ForwardedRun {
    const { processCheck, clock } = this.#context;
    const { order } = forwarding;
    let run: ForwardedRun | undefined;
    let isGone = false;
    const hasAnswered = processCheck.isFresh(server, steadyMs(clock))
      ? Promise.resolve(true)
      : processCheck.check(server);
    void hasAnswered.then((isKnown) => {
      if (isGone) return;
      const startedAtMs = server.stated?.startedAtMs;
      const isExpected = isKnown &&
        (startedAtMs === undefined || startedAtMs === order.expectedStartMs);
      const refusal = isExpected
        ? this.#findRefusal(order, server)
        : { reason: "other_process" };
      if (refusal !== undefined) return this.#refuse(forwarding, refusal);
      run = this.#send(server, forwarding);
    });
    return {
      resume: () => run?.resume(),
      abort: () => {
        isGone = true;
        run?.abort();
      },
    };
  }

  #findRefusal(
    { server: { address } }: ForwardOrder,
    server: KnownServer | undefined,
  ): ForwardRefusal | undefined {
    const { registry, clock, paths, isLeaving } = this.#context;
    if (isLeaving()) return { reason: "forwarder_leaves", at: "forwarder" };
    if (this.#openCount >= MAX_FORWARDED) {
      return { reason: "forwarder_full", at: "forwarder" };
    }
    if (server === undefined || server.listed.address !== address) {
      return { reason: "unknown_server", at: "forwarder" };
    }
    if (!paths.mayForward(server.listed.service)) {
      // A second hop is never tried.
      return { reason: "forwarder_cut_off", at: "forwarder" };
    }
    if (registry.isLeaving(server)) return { reason: "server_leaves" };
    if (steadyMs(clock) < server.quietUntilMs) {
      return { reason: "server_quiet" };
    }
    return undefined;
  }

  #send(
    server: KnownServer,
    { order, sink }: Forwarding,
  ): ForwardedRun {
    const { client, clock, scheduler, registry, crashGuard, paths, log } =
      this.#context;
    log.decision("forward", {
      requestId: order.requestId,
      server: order.server.id,
    });
    const { listed } = server;
    const suspects = crashGuard.suspectsOf(order);
    const nowMs = () => steadyMs(clock);
    const answer: ForwardedAnswer = {
      startedAtMs: nowMs(),
      connectedAtMs: undefined,
      headAtMs: undefined,
      hasData: false,
      isKnownSound: false,
    };
    if (nowMs() - server.lastReceivedMs > CONNECTION_FRESH_MS) {
      client.closeIdleConnections(listed.address);
    }
    this.#openCount += 1;
    let isOver = false;
    let wasSent = false;
    let cancelWithdrawal = () => {};
    let handle: AttemptHandle = NOTHING_RUNS;
    const end = (outcome: string) => {
      if (isOver) return;
      isOver = true;
      cancelWithdrawal();
      this.#openCount -= 1;
      this.#logEnd(order, { outcome, startedAtMs: answer.startedAtMs });
    };
    // Ends this request, and no other, when sending it or handling one of its
    // events throws.
    const contain = (handleEvent: () => void) => {
      try {
        handleEvent();
      } catch (caught) {
        const reason = String(caught);
        const { requestId } = order;
        this.#context.log.decision("forward_failed", { requestId, reason });
        this.#context.metrics.count("contained_errors", { at: "forward" });
        end("failed");
        handle.abort();
        sink.failed({ kind: "broken", reason, at: "forwarder" });
      }
    };
    const listener: AttemptListener = {
      connected: () => {
        answer.connectedAtMs = nowMs();
      },
      sent() {
        wasSent = true;
      },
      head: (head) =>
        contain(() => {
          answer.headAtMs = nowMs();
          cancelWithdrawal();
          if (answer.connectedAtMs !== undefined) {
            paths.recordAnswer(listed, answer.connectedAtMs);
          }
          recordAnswerHead(this.#context, server, { head, nowMs: nowMs() });
          sink.head(head);
        }),
      data: (chunk) =>
        contain(() => {
          answer.hasData = true;
          registry.recordActivity(listed.id, nowMs());
          this.#recordSound(suspects, { answer, isComplete: false });
          if (!sink.data(chunk)) handle.pause();
        }),
      end: () =>
        contain(() => {
          this.#recordSound(suspects, { answer, isComplete: true });
          end("answered");
          sink.end();
        }),
      failed: (failure) =>
        contain(() => {
          end(failure.kind);
          if (failure.reason === BEGINS_TOO_LATE) return sink.failed(failure);
          if (failure.kind === "unsent") {
            this.#recordNoConnection(server, answer.startedAtMs);
          } else this.#recordLoss(suspects, { server, answer });
          sink.failed(failure);
        }),
    };
    contain(() => {
      handle = client.forward(order, listener);
    });
    if (isOver) return NOTHING_RUNS;
    if (order.beginByMs !== undefined) {
      const withdrawAtMs = order.beginByMs + WITHDRAW_GRACE_MS;
      cancelWithdrawal = scheduler.after(
        withdrawAtMs - nowMs(),
        () =>
          contain(() => {
            end("withdrawn");
            handle.abort();
            const kind = wasSent ? "broken" : "unsent";
            sink.failed({ kind, reason: BEGINS_TOO_LATE });
          }),
      );
    }
    return {
      resume: () => handle.resume(),
      abort: () => {
        if (isOver) return;
        end("gone");
        const waitedMs = nowMs() - answer.startedAtMs;
        if (answer.headAtMs === undefined && waitedMs > UNANSWERED_MS) {
          paths.noteUnanswered(listed, answer.startedAtMs);
        }
        handle.abort();
      },
    };
  }

  #recordSound(
    suspects: RequestSuspects,
    seen: { readonly answer: ForwardedAnswer; readonly isComplete: boolean },
  ): void {
    const { answer, isComplete } = seen;
    const { headAtMs: beganAtMs, isKnownSound } = answer;
    if (isKnownSound || beganAtMs === undefined) return;
    answer.isKnownSound = this.#context.crashGuard.recordProgress(suspects, {
      beganAtMs,
      isComplete,
    });
  }

  #recordNoConnection({ listed }: KnownServer, openedAtMs: number): void {
    const { paths, registry, clock } = this.#context;
    paths.recordNoConnection(listed, openedAtMs);
    if (paths.isCutOff(listed.service)) return;
    registry.recordSilence(listed.id, steadyMs(clock));
  }

  #recordLoss(
    suspects: RequestSuspects,
    lost: { readonly server: KnownServer; readonly answer: ForwardedAnswer },
  ): void {
    const { headAtMs, hasData, isKnownSound } = lost.answer;
    const { paths, registry, clock } = this.#context;
    const { id, service } = lost.server.listed;
    paths.suspect(lost.server.listed);
    if (headAtMs === undefined) {
      paths.noteUnanswered(lost.server.listed, lost.answer.startedAtMs);
    }
    if (!paths.isCutOff(service)) registry.recordFailure(id, steadyMs(clock));
    void this.#context.crashGuard.recordLoss(suspects, {
      server: lost.server.listed,
      headAtMs,
      hasEvents: hasData,
      isKnownSound,
    });
  }

  #logEnd(
    { requestId, server }: ForwardOrder,
    { outcome, startedAtMs }: {
      readonly outcome: string;
      readonly startedAtMs: number;
    },
  ): void {
    const { log, metrics, clock } = this.#context;
    const durationMs = Math.round(steadyMs(clock) - startedAtMs);
    metrics.count("forwarded", { outcome });
    metrics.observeMs("forwarded_ms", durationMs);
    log.decision("forward_end", {
      requestId,
      server: server.id,
      outcome,
      durationMs,
    });
  }
}

interface Forwarding {
  readonly order: ForwardOrder;
  readonly sink: ForwardSink;
}

/** Why nothing is sent on. */
interface ForwardRefusal {
  readonly reason: string;
  readonly at?: "forwarder";
}

interface ForwardedAnswer {
  readonly startedAtMs: number;
  /** When its own connection was opened; undefined on one that was kept. */
  connectedAtMs: number | undefined;
  headAtMs: number | undefined;
  hasData: boolean;
  isKnownSound: boolean;
}
