/**
 * Ends a daemon without harm to the requests that it runs: it stops accepting,
 * waits for them, and says in gossip that it leaves.
 *
 * @module
 */

import { mayTakeRequest, planDrain } from "@endivebend/request-path";
import type { DaemonParts } from "./daemon_parts.ts";

const DRAIN_CHECK_INTERVAL_MS = 50;

/** The drain of this daemon. */
export class DaemonDrain {
  readonly #parts: DaemonParts;
  #sinceMs: number | undefined;

  constructor(parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Whether the daemon drains. */
  get isDraining(): boolean {
    return this.#sinceMs !== undefined;
  }

  /** Whether a request may be run that is answered in the time at the latest. */
  mayTake(timeLeftMs: number): boolean {
    return this.#sinceMs === undefined || mayTakeRequest({
      sinceMs: this.#parts.nowMs() - this.#sinceMs,
      graceMs: this.#parts.settings.graceMs,
      timeLeftMs,
    });
  }

  /** Starts draining. Calls `onEnd` when the process may end. */
  start(onEnd: () => void): void {
    if (this.#sinceMs !== undefined) return;
    this.#sinceMs = this.#parts.nowMs();
    this.#parts.ports.log.stateChange("stop", {
      open: this.#parts.listener.openRequestCount,
    });
    this.#parts.weightsRollout.stop();
    this.#parts.versionRolloutTask.stop();
    this.#parts.cacheWatch.stop();
    this.#parts.quarantines.stop();
    this.#continueDrain(onEnd);
  }

  #continueDrain(onEnd: () => void): void {
    const step = planDrain({
      sinceMs: this.#parts.nowMs() - (this.#sinceMs ?? 0),
      openCount: this.#parts.listener.openRequestCount +
        this.#parts.forwardedRuns.openCount,
      graceMs: this.#parts.settings.graceMs,
    });
    if (step.refusesConnections) this.#parts.listener.stopListening();
    if (step.endsRequests) this.#parts.admission.stopRuns();
    if (step.mayEnd) return this.#finishDrain(onEnd);
    this.#parts.ports.scheduler.after(
      DRAIN_CHECK_INTERVAL_MS,
      () => this.#continueDrain(onEnd),
    );
  }

  #finishDrain(onEnd: () => void): void {
    const { log } = this.#parts.ports;
    log.stateChange("end", { open: this.#parts.listener.openRequestCount });
    this.#parts.gossipChannel.close({
      ...this.#parts.gossip.composeMessage(),
      isLeaving: true,
    });
    this.#parts.statusServer.close();
    this.#parts.pauseGuard.stop();
    this.#parts.versionRollouts.stop();
    this.#parts.paths.stop();
    this.#parts.streamOrigins.stop();
    this.#parts.forwardListener.close();
    log.flush();
    // The datagrams that announce the end are sent in the next turn of the
    // event loop; the timer keeps the process alive until then.
    setTimeout(() => {
      this.#parts.gossipChannel.dispose();
      this.#parts.recordExchange.close();
      this.#parts.followers.operator.stop();
      this.#parts.followers.server.stop();
      this.#parts.followers.quarantine.stop();
      onEnd();
    }, DRAIN_CHECK_INTERVAL_MS);
  }
}
