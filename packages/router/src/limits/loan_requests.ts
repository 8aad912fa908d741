/**
 * Requests loans from the holders in other failure domains.
 *
 * @module
 */

import type { LimitsEvent } from "@endivebend/limits";
import type { PeerClients } from "@endivebend/peers";
import { brandId, type FailureDomainId } from "@endivebend/types";
import type { Clock, Identity, MembershipView, Metrics } from "../ports.ts";
import type { BorrowEffect, TeamEntry } from "./local_holder.ts";
import type { RightsView } from "./rights_task.ts";
import { steadyNowMs } from "./steady_clock.ts";

/** Timeout of one loan request. */
const BORROW_TIMEOUT_MS = 400;

/** Dependencies of {@link LoanRequests}. */
export interface LoanRequestsOptions {
  readonly identity: Identity;
  readonly rights: RightsView;
  readonly membership: MembershipView;
  readonly peers: PeerClients;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly apply: (entry: TeamEntry, event: LimitsEvent) => void;
}

/** Sends loan requests and converts the answers into events. */
export class LoanRequests {
  readonly #options: LoanRequestsOptions;

  constructor(options: LoanRequestsOptions) {
    this.#options = options;
  }

  /** Requests one loan; always applies exactly one loan event to the entry. */
  async borrow(entry: TeamEntry, effect: BorrowEffect): Promise<void> {
    const event = await this.#requestLoan(entry, effect).catch(() => undefined);
    this.#options.metrics.increment("limits.borrows", {
      result: event === undefined ? "failed" : "answered",
    });
    const failed = { kind: "loan_failed", lender: effect.lender } as const;
    this.#options.apply(entry, event ?? failed);
  }

  async #requestLoan(
    entry: TeamEntry,
    effect: BorrowEffect,
  ): Promise<LimitsEvent | undefined> {
    const address = this.#addressOfLender(entry, effect.lender);
    // Yields even when there is no address: the step that requested the loan
    // must end before the next event is applied.
    await Promise.resolve();
    if (address === undefined) return undefined;
    const requestedAtMs = steadyNowMs(this.#options.clock);
    const answer = await this.#options.peers.at(address).borrow({
      team: entry.team,
      borrowerVmId: this.#options.identity.vmId,
      wantTokens: BigInt(effect.wantTokens),
      wantCapacityTokens: BigInt(effect.wantCapacityTokens),
    }, { timeoutMs: BORROW_TIMEOUT_MS });
    if (answer.notHolder) return undefined;
    return {
      kind: "loan_received",
      lender: effect.lender,
      capacityTokens: Number(answer.capacityTokens),
      tokens: Number(answer.tokens),
      leaseMs: answer.leaseMs,
      requestedAtMs,
    };
  }

  #addressOfLender(entry: TeamEntry, lender: string): string | undefined {
    const domain = brandId<FailureDomainId>(lender);
    const vmId = this.#options.rights.holder(domain, entry.group);
    if (vmId === undefined) return undefined;
    return this.#options.membership.entryVm(vmId)?.address;
  }
}
