/**
 * Sends charges to the holders on other VMs.
 *
 * @module
 */

import { chargingDomain, otherDomains } from "@endivebend/limits";
import type { PeerClients } from "@endivebend/peers";
import type {
  FailureDomainId,
  TeamGroup,
  TeamId,
  VmId,
} from "@endivebend/types";
import type {
  ChargeInput,
  ChargeResult,
  Clock,
  Identity,
  MembershipView,
  Metrics,
  Scheduler,
} from "../ports.ts";
import type { RightsView } from "./rights_task.ts";

/** Time for which a holder that did not answer is skipped. */
const FAILED_HOLDER_BACKOFF_MS = 500;
/** Delay before all holders are tried again. */
const RETRY_DELAY_MS = 50;
const UNREACHABLE_RETRY_AFTER_MS = 1000;

/** Dependencies of {@link PeerCharges}. */
export interface PeerChargesOptions {
  readonly identity: Identity;
  readonly rights: RightsView;
  readonly membership: MembershipView;
  readonly peers: PeerClients;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly metrics: Metrics;
  /** Milliseconds that a peer may take beyond the time the charge may wait. */
  readonly chargeTimeoutMs: number;
  /** Charges on this VM; undefined when this VM is not the holder. */
  readonly chargeLocally: (
    input: ChargeInput,
  ) => Promise<ChargeResult | undefined> | undefined;
  readonly burstTokensOf: (team: TeamId) => number;
}

/** Finds a holder that answers and charges it. */
export class PeerCharges {
  readonly #options: PeerChargesOptions;
  readonly #backoffUntilMs = new Map<VmId, number>();

  constructor(options: PeerChargesOptions) {
    this.#options = options;
  }

  /**
   * Charges at the holder of the own failure domain, or for a large cost at the
   * holder of the domain that collects large costs. When that holder does not
   * answer, tries the holders of the same group in the other domains, which
   * charge their own shares. Retries until the charge's deadline.
   */
  async charge(input: ChargeInput, group: TeamGroup): Promise<ChargeResult> {
    const { clock } = this.#options;
    let refusal: ChargeResult | undefined;
    do {
      const domains = this.#domainsToTry(input, group);
      for (const domain of domains) {
        const result = await this.#chargeInDomain(domain, { input, group });
        if (result === undefined) continue;
        if (result.granted || domain === domains[0]) return result;
        refusal = earlierRefusal(refusal, result);
      }
      if (refusal !== undefined) return refusal;
      await this.#delayRetry();
      if (input.signal?.aborted) break;
    } while (clock.elapsedMs() < input.deadlineElapsedMs);
    return {
      granted: false,
      code: "not_ready",
      retryAfterMs: UNREACHABLE_RETRY_AFTER_MS,
      limitTokens: 0,
      remainingTokens: 0,
      resetMs: 0,
    };
  }

  /** Failure domains to try; the first is the one that should charge. */
  #domainsToTry(input: ChargeInput, group: TeamGroup): FailureDomainId[] {
    const { rights, identity, burstTokensOf } = this.#options;
    const splits = rights.splits(group);
    const first = chargingDomain(input.team, {
      splits,
      domain: identity.failureDomain,
      burstTokens: burstTokensOf(input.team),
      costTokens: input.costTokens,
    });
    return [first, ...otherDomains(splits, first)];
  }

  async #chargeInDomain(
    domain: FailureDomainId,
    charge: { readonly input: ChargeInput; readonly group: TeamGroup },
  ): Promise<ChargeResult | undefined> {
    const { rights, identity, clock } = this.#options;
    if (domain === identity.failureDomain) {
      const localResult = await this.#options.chargeLocally(charge.input);
      if (localResult !== undefined) return localResult;
    }
    const vmId = rights.holder(domain, charge.group);
    if (vmId === undefined || vmId === identity.vmId) return undefined;
    const backoffUntilMs = this.#backoffUntilMs.get(vmId) ?? 0;
    if (backoffUntilMs > clock.elapsedMs()) return undefined;
    return await this.#chargeAtVm(vmId, charge.input);
  }

  async #chargeAtVm(
    vmId: VmId,
    input: ChargeInput,
  ): Promise<ChargeResult | undefined> {
    const { membership, peers, clock, metrics } = this.#options;
    const address = membership.entryVm(vmId)?.address;
    if (address === undefined) return undefined;
    const waitMs = Math.floor(input.deadlineElapsedMs - clock.elapsedMs());
    try {
      const answer = await peers.at(address).charge({
        team: input.team,
        costTokens: BigInt(input.costTokens),
        waitMs: Math.max(0, waitMs),
        requestId: input.requestId,
      }, {
        timeoutMs: Math.max(0, waitMs) + this.#options.chargeTimeoutMs,
        ...(input.signal === undefined ? {} : { signal: input.signal }),
      });
      if (answer.notHolder) return undefined;
      const rateLimitFields = {
        limitTokens: Number(answer.limitTokens),
        remainingTokens: Number(answer.remainingTokens),
        resetMs: answer.resetMs,
      };
      if (answer.granted) return { granted: true, ...rateLimitFields };
      const code = answer.code as ChargeResult["code"];
      const { retryAfterMs } = answer;
      return { granted: false, code, retryAfterMs, ...rateLimitFields };
    } catch {
      // The caller has disconnected, so the holder may still be reachable.
      if (input.signal?.aborted) return undefined;
      // The holder may have applied the charge without its answer arriving.
      // Its tokens are lost then.
      metrics.increment("limits.charge_failures");
      const backoffUntilMs = clock.elapsedMs() + FAILED_HOLDER_BACKOFF_MS;
      this.#backoffUntilMs.set(vmId, backoffUntilMs);
      return undefined;
    }
  }

  #delayRetry(): Promise<void> {
    return new Promise((resolve) => {
      this.#options.scheduler.after(RETRY_DELAY_MS, resolve);
    });
  }
}

function earlierRefusal(
  known: ChargeResult | undefined,
  result: ChargeResult,
): ChargeResult {
  if (known === undefined) return result;
  const isEarlier = (result.retryAfterMs ?? 0) < (known.retryAfterMs ?? 0);
  return isEarlier ? result : known;
}
