/**
 * For how long after its beginning a stream may be taken up.
 *
 * @module
 */

import type { ServiceName } from "@endivebend/types";

/** A server begins streams for some time after its entry was removed. */
const LEAVING_SLACK_MS = 3_000;
/** Routes may have no timeout. */
const MAX_LIFE_MS = 600_000;

/** The life of the streams of each service that callers may take up. */
export class StreamLives {
  readonly #timeoutsMs: () => ReadonlyMap<ServiceName, number>;
  /** The longest time for which a caller of each service was to wait. */
  readonly #longestWaitMs = new Map<ServiceName, number>();

  /** Takes the longest timeout of each service's routes. */
  constructor(timeoutsMs: () => ReadonlyMap<ServiceName, number>) {
    this.#timeoutsMs = timeoutsMs;
  }

  /** Services whose streams may be taken up. */
  get services(): ServiceName[] {
    return [...this.#timeoutsMs().keys()];
  }

  /** The life of any stream, in milliseconds. */
  get longestMs(): number {
    return Math.max(0, ...this.services.map((name) => this.lifeMs(name) ?? 0));
  }

  /** Notes for how long a caller waits, which may be longer than the route. */
  noteWait(service: ServiceName, waitMs: number): void {
    const longestMs = this.#longestWaitMs.get(service) ?? 0;
    if (waitMs > longestMs) this.#longestWaitMs.set(service, waitMs);
  }

  /** Undefined when streams of the service may not be taken up. */
  lifeMs(service: ServiceName): number | undefined {
    const timeoutMs = this.#timeoutsMs().get(service);
    if (timeoutMs === undefined) return undefined;
    const longestMs = this.#longestWaitMs.get(service) ?? 0;
    const waitMs = Math.min(2 * timeoutMs, Math.max(timeoutMs, longestMs));
    return Math.min(MAX_LIFE_MS, waitMs) + LEAVING_SLACK_MS;
  }
}
