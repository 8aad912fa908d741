/**
 * Tracks active requests, so that a key withdrawal can stop them and a drain
 * can wait for them.
 *
 * @module
 */

import { isEndivebendError } from "@endivebend/errors";
import type { Sha256Digest } from "@endivebend/types";
import type { ConfigurationView } from "../ports.ts";
import { checkDigest } from "./authenticate.ts";

/** A request in progress that can be stopped. */
export interface ActiveRequest {
  /** Digest of the caller's key; undefined on open routes, which need none. */
  readonly digest: Sha256Digest | undefined;
  /** Ends the request and reports the error to its caller. */
  stop(error: Error): void;
}

/**
 * The requests in progress at this router. A request is open from the arrival
 * of its headers until its answer has been sent or its caller has disconnected;
 * a service call may still be running after that.
 */
export class ActiveRequests {
  readonly #active = new Set<ActiveRequest>();
  #openCount = 0;
  #heldCount = 0;
  #idleListeners: (() => void)[] = [];

  /** Number of open requests, whose callers are waiting for an answer. */
  get count(): number {
    return this.#openCount;
  }

  /** Counts a request as open until the returned function is called. */
  open(): () => void {
    this.#openCount++;
    return () => {
      this.#openCount--;
      this.#resolveIfIdle();
    };
  }

  /**
   * Delays a drain until the returned function is called, without adding to
   * {@link count}. Used for requests of operators.
   */
  hold(): () => void {
    this.#heldCount++;
    return () => {
      this.#heldCount--;
      this.#resolveIfIdle();
    };
  }

  add(request: ActiveRequest): void {
    this.#active.add(request);
  }

  remove(request: ActiveRequest): void {
    this.#active.delete(request);
    this.#resolveIfIdle();
  }

  /** Resolves once no request is open, held or active. */
  waitUntilIdle(): Promise<void> {
    if (this.#isIdle()) return Promise.resolve();
    return new Promise((resolve) => this.#idleListeners.push(resolve));
  }

  /**
   * Stops requests whose key is no longer valid; returns how many it stopped.
   */
  stopWithdrawn(configuration: ConfigurationView): number {
    let stopped = 0;
    for (const request of [...this.#active]) {
      if (request.digest === undefined) continue;
      try {
        checkDigest(request.digest, configuration);
      } catch (caught) {
        if (!isEndivebendError(caught)) throw caught;
        request.stop(caught);
        stopped++;
      }
    }
    return stopped;
  }

  #isIdle(): boolean {
    const openCount = this.#openCount + this.#heldCount;
    return this.#active.size === 0 && openCount === 0;
  }

  #resolveIfIdle(): void {
    if (!this.#isIdle()) return;
    for (const resolve of this.#idleListeners) resolve();
    this.#idleListeners = [];
  }
}
