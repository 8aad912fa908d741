/**
 * The requests that run, for withdrawal of keys and for planned stops.
 *
 * @module
 */

import { isEndivebendError } from "@endivebend/errors";
import type { Sha256Digest } from "@endivebend/types";
import type { ConfigurationView } from "../ports.ts";
import { checkDigest } from "./authenticate.ts";

/** A request that runs. */
export interface ActiveRequest {
  /** Undefined on open routes. */
  readonly digest: Sha256Digest | undefined;
  /** Ends the request with an error. */
  stop(error: Error): void;
}

/**
 * The set of requests that run at this router. A request is open from its
 * header until its answer is out or its caller has left; a call of a service
 * may run on after that.
 */
export class ActiveRequests {
  readonly #active = new Set<ActiveRequest>();
  #openCount = 0;
  #heldCount = 0;
  #idleListeners: (() => void)[] = [];

  /** Requests whose callers wait for an answer. */
  get count(): number {
    return this.#openCount;
  }

  /** Counts a request as open; returns the function that ends this. */
  open(): () => void {
    this.#openCount++;
    return () => {
      this.#openCount--;
      this.#resolveIfIdle();
    };
  }

  /** Holds up a planned stop without being counted, as operators' requests. */
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

  /** Resolves once no request is open or runs. */
  waitUntilIdle(): Promise<void> {
    if (this.#isIdle()) return Promise.resolve();
    return new Promise((resolve) => this.#idleListeners.push(resolve));
  }

  /** Stops the requests whose key is no longer valid; returns their number. */
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
