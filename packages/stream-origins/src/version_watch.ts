/**
 * Watches which software versions of each service's servers are listed. Times
 * are this daemon's own steady time: the clocks of VMs may differ by seconds.
 *
 * @module
 */

import type { SoftwareVersion } from "@endivebend/request-path";
import type { ServiceName } from "@endivebend/types";

/**
 * Time without a look at the list after which servers may have been listed and
 * gone unseen; they stay for longer.
 */
const MAX_GAP_MS = 4_000;

/** Which versions were listed, and when. */
export class VersionWatch {
  /** When each version was last listed; undefined stands for unknown ones. */
  readonly #listedAtMs = new Map<
    ServiceName,
    Map<SoftwareVersion | undefined, number>
  >();
  #sinceMs: number | undefined;
  #currentAtMs = Number.NEGATIVE_INFINITY;
  #pausedUntilMs = Number.NEGATIVE_INFINITY;

  /** Since when the list has been current; undefined before the first. */
  get sinceMs(): number | undefined {
    return this.#sinceMs;
  }

  /** Whether the list of servers, as it is known, was current at the time. */
  wasCurrentAt(atMs: number): boolean {
    return this.#currentAtMs >= atMs;
  }

  /** How long ago the list of servers, as it is known, was current. */
  ageMs(nowMs: number): number {
    return nowMs - this.#currentAtMs;
  }

  /** Records that the list of servers, as it is known, was current then. */
  noteCurrent(atMs: number): void {
    if (atMs <= Math.max(this.#currentAtMs, this.#pausedUntilMs)) return;
    if (atMs - this.#currentAtMs > MAX_GAP_MS) this.#sinceMs = atMs;
    this.#currentAtMs = atMs;
  }

  /** Begins anew with the next list, as the process has been paused. */
  restart(nowMs: number): void {
    this.#sinceMs = undefined;
    this.#currentAtMs = Number.NEGATIVE_INFINITY;
    this.#pausedUntilMs = nowMs;
  }

  /** Records that a server of the version is listed, or was until now. */
  noteListed(
    service: ServiceName,
    listed: {
      readonly version: SoftwareVersion | undefined;
      readonly nowMs: number;
    },
  ): void {
    const versions = this.#listedAtMs.get(service) ?? new Map();
    this.#listedAtMs.set(service, versions);
    versions.set(listed.version, listed.nowMs);
  }

  /** Versions that were listed within the last `lifeMs`. */
  versions(
    service: ServiceName,
    { nowMs, lifeMs }: { readonly nowMs: number; readonly lifeMs: number },
  ): (SoftwareVersion | undefined)[] {
    return [...this.#listedAtMs.get(service) ?? []]
      .filter(([, atMs]) => nowMs - atMs <= lifeMs)
      .map(([version]) => version);
  }

  /**
   * The only version that was listed within the last `lifeMs`, or since the
   * watch began when that is shorter; undefined when there were several.
   */
  soleSeen(
    service: ServiceName,
    time: { readonly nowMs: number; readonly lifeMs: number },
  ): SoftwareVersion | undefined {
    const versions = this.versions(service, time);
    return versions.length === 1 ? versions[0] : undefined;
  }

  /** The version that alone was listed during the whole of the last `lifeMs`. */
  soleVersion(
    service: ServiceName,
    time: { readonly nowMs: number; readonly lifeMs: number },
  ): SoftwareVersion | undefined {
    const { nowMs, lifeMs } = time;
    if (this.#sinceMs === undefined || nowMs - this.#sinceMs < lifeMs) {
      return undefined;
    }
    return this.soleSeen(service, time);
  }
}
