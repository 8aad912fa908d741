/**
 * Goes on with a stream at a server of the software version that began it:
 * take-ups of streams that other daemons began, waits for a server of that
 * version, and checks that a server's process is the one of its entry.
 *
 * @module
 */

import type { Attempt } from "./attempt.ts";
import type { AttemptPlaces } from "./attempt_places.ts";
import type { RefusalReason, StreamOrigin } from "./ports.ts";
import type { RepeatSettlement } from "./repeat_settlement.ts";
import type { RepeatCause } from "./request_context.ts";
import type { RunState } from "./run_state.ts";
import type { KnownServer } from "./server_registry.ts";
import { silenceTimeoutMs } from "./silence_timeout.ts";

/** An outage leaves hundreds of attempts silent, and each looks for a place. */
export const REPLACE_INTERVAL_MS = 300;

/** Why a request is sent again, and what is said where that can't be done. */
export interface RetryCauses {
  readonly reason: RefusalReason;
  readonly cause: RepeatCause;
}

/** The wait of an answer for a server of its software version. */
export interface Wait extends RetryCauses {
  /** When the last event came. */
  readonly lastProgressMs: number;
  readonly nextMs: number;
}

/** What the continuation makes the run of the request do. */
export interface ContinuationActions {
  /** Ends the request, and no other, when the function throws. */
  contain(handle: () => void): void;
  startAttempt(): void;
  giveUp(reason: RefusalReason): void;
}

/** Goes on with the stream of one request. */
export class StreamContinuation {
  readonly #state: RunState;
  readonly #places: AttemptPlaces;
  readonly #repeats: RepeatSettlement;
  readonly #actions: ContinuationActions;
  /** Set while an answer that has begun has no server that may go on. */
  wait: Wait | undefined;
  /** Whether the server that began the answer was asked which process it is. */
  #isOriginChecked = false;

  constructor(
    state: RunState,
    parts: {
      readonly places: AttemptPlaces;
      readonly repeats: RepeatSettlement;
      readonly actions: ContinuationActions;
    },
  ) {
    this.#state = state;
    this.#places = parts.places;
    this.#repeats = parts.repeats;
    this.#actions = parts.actions;
  }

  /** Starts an attempt once it is known which version began the stream. */
  startTakeUp(): void {
    const origin = this.#state.context.streamOrigins.find(this.#state.request);
    if ("kind" in origin) return this.#takeUp(origin);
    void origin.then((found) =>
      this.#actions.contain(() => this.#takeUp(found))
    );
  }

  #takeUp(origin: StreamOrigin): void {
    if (this.#state.hasEnded) return;
    const { kind } = origin;
    const version = kind === "version" ? origin.version : undefined;
    this.#state.context.metrics.count("take_ups", { origin: kind });
    this.#state.logDecision("take_up", { origin: kind, version });
    if (version === undefined) return this.#actions.giveUp("unknown_origin");
    this.#state.takenUpVersion = version;
    this.#startAtVersion();
  }

  /**
   * Starts a take-up's attempt once the server that it goes to has said that its
   * process is the one of its entry.
   */
  #startAtVersion(): void {
    if (this.#state.hasEnded) return;
    const server = this.#places.findNext();
    if (server === undefined || this.isCurrent(server)) {
      return this.#actions.startAttempt();
    }
    this.checkProcesses(server, () => this.#startAtVersion());
  }

  /** Starts the next attempt; a take-up's first event is still to come. */
  startAgain(): void {
    const needsCheck = this.#state.takenUpVersion !== undefined &&
      !this.#state.relay.hasBegun;
    if (needsCheck) this.#startAtVersion();
    else this.#actions.startAttempt();
  }

  /**
   * Sends the request to another server, with a retry taken from the budget. An
   * answer that has begun waits for a server of its software version.
   */
  retry({ reason, cause }: RetryCauses, after: Attempt | Wait): void {
    this.wait = undefined;
    const nowMs = this.#state.nowMs();
    const server = this.#state.relay.hasBegun
      ? this.#places.findNext()
      : undefined;
    const mayStart = !this.#state.relay.hasBegun ||
      (server !== undefined && this.isCurrent(server));
    if (mayStart) {
      // Many are withdrawn at once, and often there is no place for any.
      const hasPlace = cause !== "withdrawn" || this.#places.hasPlaceOrProbe();
      const mayRetry = hasPlace && this.#repeats.tryRetry(cause);
      return mayRetry ? this.startAgain() : this.#actions.giveUp(reason);
    }
    const { lastProgressMs } = after;
    const untilMs = lastProgressMs + this.#maxWaitMs();
    if (nowMs >= untilMs || !this.#places.hasServerToWaitFor()) {
      return this.#actions.giveUp(reason);
    }
    const nextMs = Math.min(nowMs + REPLACE_INTERVAL_MS, untilMs);
    this.wait = { reason, cause, lastProgressMs, nextMs };
    if (server === undefined) return;
    this.checkProcesses(server, () => {
      if (this.wait !== undefined) this.retry(this.wait, this.wait);
    });
  }

  /**
   * Whether the server's process is known to be the one of its entry. A VM that
   * reaches the server only through another one can't ask.
   */
  isCurrent(server: KnownServer): boolean {
    const { paths, processCheck } = this.#state.context;
    return processCheck.isFresh(server, this.#state.nowMs()) ||
      paths.forwarderFor(server.listed, this.#state.excludedForwarders) !==
        undefined;
  }

  /**
   * Asks the server, and once the one that began the answer, which process they
   * are; a server that does not answer is left out from then on.
   */
  checkProcesses(server: KnownServer, done: () => void): void {
    const { processCheck, registry } = this.#state.context;
    const origin = this.#state.origin &&
      registry.get(this.#state.origin.server);
    const mayAskOrigin = origin !== undefined && !this.#isOriginChecked &&
      !registry.isLeaving(origin) && this.#state.nowMs() >= origin.quietUntilMs;
    this.#isOriginChecked = true;
    void Promise.all([
      processCheck.check(server),
      mayAskOrigin ? processCheck.check(origin) : true,
    ]).then(([hasAnswered]) => {
      if (this.#state.hasEnded) return;
      if (!hasAnswered) this.#state.excluded.add(server.listed.id);
      this.#actions.contain(done);
    });
  }

  /** A stream whose server is lost waits as long as for a silent server. */
  #maxWaitMs(): number {
    return silenceTimeoutMs(this.#state.request, {
      hasBegun: true,
      canRetry: true,
      isServerSilent: false,
    });
  }
}
