/**
 * Decides whom a daemon asks for the messages of a failure domain that its
 * relays don't bring: the link of a relay may be full, the relay may be paused
 * or cut off, or daemons may disagree for a while on who relays.
 *
 * @module
 */

import { rankByRendezvous } from "@endivebend/routing";
import type { FailureDomainId } from "@endivebend/types";

/** Asks for a bundle of a failure domain. */
export interface BundleRequest {
  readonly failureDomain: FailureDomainId;
  /** Where the sender receives datagrams. */
  readonly address: string;
  /** Whether the sender passes the bundle on to the daemons it serves. */
  readonly isRelay: boolean;
}

/** The next request for the messages of a failure domain. */
export interface DueRequest {
  readonly failureDomain: FailureDomainId;
  /** Requests for it so far. */
  readonly attempt: number;
}

/** A bundle comes back well within this time on an idle link. */
const REQUEST_INTERVAL_MS = 400;
/** Requests at that interval; a domain that is gone is asked for less often. */
const MAX_QUICK_ATTEMPTS = 6;
const SLOW_REQUEST_INTERVAL_MS = 2_000;

/** Requests that are made until the missing messages come. */
export class BundleRequests {
  readonly #nextByDomain = new Map<
    FailureDomainId,
    { readonly attempt: number; readonly atMs: number }
  >();

  /** The requests to make now, of the domains whose messages are overdue. */
  due(overdue: readonly FailureDomainId[], nowMs: number): DueRequest[] {
    for (const failureDomain of this.#nextByDomain.keys()) {
      if (!overdue.includes(failureDomain)) {
        this.#nextByDomain.delete(failureDomain);
      }
    }
    return overdue.flatMap((failureDomain) => {
      const next = this.#nextByDomain.get(failureDomain);
      if (next !== undefined && nowMs < next.atMs) return [];
      const attempt = next?.attempt ?? 0;
      const delayMs = attempt + 1 < MAX_QUICK_ATTEMPTS
        ? REQUEST_INTERVAL_MS
        : SLOW_REQUEST_INTERVAL_MS;
      this.#nextByDomain.set(failureDomain, {
        attempt: attempt + 1,
        atMs: nowMs + delayMs,
      });
      return [{ failureDomain, attempt }];
    });
  }
}

/**
 * The daemon to ask: by turns a relay of the own failure domain, as traffic
 * between domains is charged, and a daemon of the missing one. Those who ask
 * begin with different ones.
 *
 * @example
 * ```ts
 * const source = bundleSource(request, attempt, { ownRelays, theirs });
 * ```
 */
export function bundleSource(
  request: BundleRequest,
  attempt: number,
  known: {
    readonly ownRelays: readonly string[];
    readonly theirs: readonly string[];
  },
): string | undefined {
  const { ownRelays, theirs } = known;
  const isOwnTurn = attempt % 2 === 0 ? ownRelays.length > 0 : !theirs.length;
  const ranked = rankByRendezvous(
    `${request.address}/${request.failureDomain}`,
    isOwnTurn ? ownRelays : theirs,
  );
  return ranked[Math.floor(attempt / 2) % ranked.length];
}
