/**
 * Chooses the VM that forwards a request to a server that this VM does not
 * reach, so that a few VMs that still reach servers are loaded evenly.
 *
 * @module
 */

import type { FailureDomainId, ServiceName, VmId } from "@endivebend/types";

/** A VM that forwards requests. */
export interface Forwarder {
  readonly vm: VmId;
  /** IP and port at which it takes requests of its peers. */
  readonly address: string;
}

/** A VM that may forward a request. */
export interface ForwarderCandidate extends Forwarder {
  readonly failureDomain: FailureDomainId;
  /** Services whose servers it reaches. */
  readonly reaches: readonly ServiceName[];
  /** Requests of peers that it said it was forwarding. */
  readonly forwarding: number;
}

/** Bytes between failure domains have a price, and a way that is longer. */
const OTHER_DOMAIN_COST = 8;
/** A VM that failed to forward is not asked for this long. */
const AVOIDANCE_MS = 1_000;

/**
 * The candidate with the least load; those of the same failure domain go first
 * until they are busier by some requests. Undefined when there is none.
 *
 * @example
 * ```ts
 * const forwarder = chooseForwarder(candidates, {
 *   failureDomain,
 *   ownAt: (vm) => open.get(vm) ?? 0,
 *   random: Math.random,
 * });
 * ```
 */
export function chooseForwarder(
  candidates: readonly ForwarderCandidate[],
  options: {
    readonly failureDomain: FailureDomainId;
    /** Requests that this VM itself has open there. */
    ownAt(vm: VmId): number;
    /** Breaks ties, so that several VMs don't choose the same. */
    random(): number;
  },
): ForwarderCandidate | undefined {
  const { failureDomain, ownAt, random } = options;
  const costs = candidates.map((candidate) => ({
    candidate,
    // What it said may count this VM's own requests as well.
    cost: Math.max(candidate.forwarding, ownAt(candidate.vm)) +
      ownAt(candidate.vm) + random() +
      (candidate.failureDomain === failureDomain ? 0 : OTHER_DOMAIN_COST),
  }));
  costs.sort((a, b) => a.cost - b.cost);
  return costs[0]?.candidate;
}

/** The requests that this VM has open at others, and which failed lately. */
export class Forwarders {
  readonly #open = new Map<VmId, number>();
  readonly #avoidUntilMs = new Map<VmId, number>();

  /** Records that a request has gone to the VM; call the result at its end. */
  take(vm: VmId): () => void {
    this.#open.set(vm, this.openAt(vm) + 1);
    return () => {
      const left = this.openAt(vm) - 1;
      if (left > 0) this.#open.set(vm, left);
      else this.#open.delete(vm);
    };
  }

  openAt(vm: VmId): number {
    return this.#open.get(vm) ?? 0;
  }

  /** Records that the VM has failed to forward a request. */
  recordFailure(vm: VmId, nowMs: number): void {
    this.#avoidUntilMs.set(vm, nowMs + AVOIDANCE_MS);
  }

  isAvoided(vm: VmId, nowMs: number): boolean {
    return nowMs < (this.#avoidUntilMs.get(vm) ?? 0);
  }
}
