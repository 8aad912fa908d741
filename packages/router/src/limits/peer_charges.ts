/**
 * Charges at the holder on another VM.
 *
 * @module
 */

import { otherDomains } from "@endivebend/limits";
import type { PeerClients } from "@endivebend/peers";
import type { TeamGroup, VmId } from "@endivebend/types";
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

/** A VM that did not answer is left alone for this time, if there are others. */
const FAILURE_PAUSE_MS = 500;
/** Pause before all holders are tried again. */
const RETRY_PAUSE_MS = 50;
const UNREACHABLE_RETRY_MS = 1000;

/** Settings and neighbours. */
export interface PeerChargesOptions {
  readonly identity: Identity;
  readonly rights: RightsView;
  readonly membership: MembershipView;
  readonly peers: PeerClients;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly metrics: Metrics;
  /** How long an answer may take beyond the time that the charge may wait. */
  readonly chargeTimeoutMs: number;
  /** Charges here when this VM has become the holder meanwhile. */
  readonly chargeHere: (
    input: ChargeInput,
  ) => Promise<ChargeResult | undefined> | undefined;
}

type Answer =
  | { readonly kind: "result"; readonly result: ChargeResult }
  | { readonly kind: "elsewhere" };

/** Finds a holder that answers and charges there. */
export class PeerCharges {
  readonly #options: PeerChargesOptions;
  readonly #failedUntilMs = new Map<VmId, number>();

  constructor(options: PeerChargesOptions) {
    this.#options = options;
  }

  /**
   * Charges at the holder of the own domain. When that does not answer, the
   * holders of the same group in the other domains charge their own shares.
   */
  async charge(input: ChargeInput, group: TeamGroup): Promise<ChargeResult> {
    const { clock } = this.#options;
    let refusal: ChargeResult | undefined;
    do {
      const here = await this.#options.chargeHere(input);
      if (here !== undefined) return here;
      const ownHolder = this.#ownHolder(group);
      for (const vmId of this.#targets(group)) {
        const answer = await this.#chargeAt(vmId, input);
        if (answer.kind === "elsewhere") continue;
        const isFinal = answer.result.granted || vmId === ownHolder;
        if (isFinal) return answer.result;
        refusal = sooner(refusal, answer.result);
      }
      if (refusal !== undefined) return refusal;
      await this.#pause();
    } while (clock.elapsedMs() < input.deadlineElapsedMs);
    return {
      granted: false,
      code: "not_ready",
      retryAfterMs: UNREACHABLE_RETRY_MS,
      limitTokens: 0,
      remainingTokens: 0,
      resetMs: 0,
    };
  }

  #ownHolder(group: TeamGroup): VmId | undefined {
    const { rights, identity } = this.#options;
    return rights.holder(identity.failureDomain, group);
  }

  #targets(group: TeamGroup): VmId[] {
    const { rights, identity, clock } = this.#options;
    const domain = identity.failureDomain;
    const holders = [domain, ...otherDomains(rights.splits(group), domain)]
      .map((each) => rights.holder(each, group))
      .filter((vmId) => vmId !== undefined && vmId !== identity.vmId);
    const nowMs = clock.elapsedMs();
    const isPaused = (vmId: VmId) =>
      (this.#failedUntilMs.get(vmId) ?? 0) > nowMs;
    return holders.filter((vmId) => vmId !== undefined && !isPaused(vmId))
      .map((vmId) => vmId as VmId);
  }

  async #chargeAt(vmId: VmId, input: ChargeInput): Promise<Answer> {
    const { membership, peers, clock, metrics } = this.#options;
    const address = membership.entryVm(vmId)?.address;
    if (address === undefined) return { kind: "elsewhere" };
    const waitMs = Math.floor(input.deadlineElapsedMs - clock.elapsedMs());
    try {
      const answer = await peers.at(address).charge({
        team: input.team,
        costTokens: BigInt(input.costTokens),
        waitMs: Math.max(0, waitMs),
        requestId: input.requestId,
      }, { timeoutMs: Math.max(0, waitMs) + this.#options.chargeTimeoutMs });
      if (answer.notHolder) return { kind: "elsewhere" };
      const numbers = {
        limitTokens: Number(answer.limitTokens),
        remainingTokens: Number(answer.remainingTokens),
        resetMs: answer.resetMs,
      };
      if (answer.granted) {
        return { kind: "result", result: { granted: true, ...numbers } };
      }
      const code = answer.code as ChargeResult["code"];
      const { retryAfterMs } = answer;
      const result = { granted: false, code, retryAfterMs, ...numbers };
      return { kind: "result", result };
    } catch {
      // The charge may have taken effect there; then its tokens are lost.
      metrics.increment("limits.charge_failures");
      const untilMs = clock.elapsedMs() + FAILURE_PAUSE_MS;
      this.#failedUntilMs.set(vmId, untilMs);
      return { kind: "elsewhere" };
    }
  }

  #pause(): Promise<void> {
    return new Promise((resolve) => {
      this.#options.scheduler.after(RETRY_PAUSE_MS, resolve);
    });
  }
}

function sooner(
  known: ChargeResult | undefined,
  result: ChargeResult,
): ChargeResult {
  if (known === undefined) return result;
  const isSooner = (result.retryAfterMs ?? 0) < (known.retryAfterMs ?? 0);
  return isSooner ? result : known;
}
