/**
 * Charges requests against the rates and bursts of teams: locally when this VM
 * holds the team's group, otherwise at the holder. Also handles the charges,
 * loan requests and handovers that other VMs send.
 *
 * @module
 */

import type { PeerClients } from "@endivebend/peers";
import { groupOfTeam } from "@endivebend/rights";
import type { TeamId } from "@endivebend/types";
import type {
  ChargeInput,
  Charger,
  ChargeResult,
  Clock,
  ConfigurationView,
  Explainer,
  Identity,
  MembershipView,
  Metrics,
  Scheduler,
} from "../ports.ts";
import { LoanRequests } from "./loan_requests.ts";
import { toChargeResult } from "./charge_results.ts";
import { LocalHolder, type TeamEntry } from "./local_holder.ts";
import { PeerCharges } from "./peer_charges.ts";
import { createLimitsHandlers, type LimitsHandlers } from "./peer_handlers.ts";
import type { RightsTask } from "./rights_task.ts";

/** Dependencies of {@link LimitsTask}. */
export interface LimitsTaskOptions {
  readonly identity: Identity;
  readonly rights: RightsTask;
  readonly membership: MembershipView;
  readonly configuration: ConfigurationView;
  readonly peers: PeerClients;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly metrics: Metrics;
  readonly explainer: Explainer;
  readonly settings: {
    readonly loanLeaseMs: number;
    readonly floorFraction: number;
    /** Milliseconds that a peer may take beyond the time a charge may wait. */
    readonly chargeTimeoutMs: number;
  };
}

const NOT_READY: ChargeResult = {
  granted: false,
  code: "not_ready",
  retryAfterMs: 1000,
  limitTokens: 0,
  remainingTokens: 0,
  resetMs: 0,
};

/** The limits task; create it with {@link createLimitsTask}. */
export class LimitsTask implements Charger {
  readonly #options: LimitsTaskOptions;
  readonly #holder: LocalHolder;
  readonly #peerCharges: PeerCharges;
  readonly handlers: LimitsHandlers;

  constructor(options: LimitsTaskOptions) {
    this.#options = options;
    const loanRequests = new LoanRequests({
      ...options,
      apply: (entry, event) => this.#holder.apply(entry, event),
    });
    this.#holder = new LocalHolder({
      ...options,
      lending: options.settings,
      borrow: (entry, effect) => void loanRequests.borrow(entry, effect),
    });
    this.#peerCharges = new PeerCharges({
      ...options,
      chargeTimeoutMs: options.settings.chargeTimeoutMs,
      chargeLocally: (input) => this.#chargeLocally(input),
      burstTokensOf: (team) =>
        options.configuration.team(team)?.limits.burstTokens ?? 0,
    });
    options.rights.setGroupReleaser({
      prepareRelease: (groups) => this.#holder.drain(groups),
      resumeLending: (groups) => this.#holder.resumeLending(groups),
    });
    this.handlers = createLimitsHandlers({
      holder: this.#holder,
      rights: options.rights,
    });
  }

  /** Starts the periodic removal of idle teams' states. */
  start(): void {
    this.#holder.start();
  }

  stop(): void {
    this.#holder.stop();
  }

  /**
   * Charges a team, and waits for tokens until the deadline. After a refusal,
   * `retryAfterMs` is the time until the same charge would be granted if no
   * other charge were made meanwhile.
   *
   * @example
   * ```ts
   * const result = await limits.charge({
   *   team,
   *   costTokens: 300,
   *   requestId,
   *   deadlineElapsedMs: clock.elapsedMs() + 10_000,
   * });
   * if (!result.granted) {
   *   throw createError(result.code ?? "rate_limited", "...");
   * }
   * ```
   */
  charge(input: ChargeInput): Promise<ChargeResult> {
    const { rights, configuration } = this.#options;
    const isTeamKnown = configuration.team(input.team) !== undefined;
    if (!isTeamKnown || !rights.isReady()) {
      return Promise.resolve(this.#recordOutcome(input, NOT_READY));
    }
    const entry = this.#holder.entry(input.team);
    const shareTokens = entry?.state.terms.share.capacityTokens ?? 0;
    // A cost above the share of the own domain is charged in the one domain
    // that collects such costs for the fleet.
    if (entry === undefined || input.costTokens > shareTokens) {
      return this.#chargeAtPeers(input);
    }
    return this.#chargeAtEntry(entry, input).then((result) =>
      result === undefined
        ? this.#chargeAtPeers(input)
        : this.#recordOutcome(input, result)
    );
  }

  /**
   * Stops lending and waits until no loan from this VM is outstanding. With
   * `release` the groups are also given up. Use it only when no daemon will
   * start again under this VM id, because a restarted VM resumes its groups
   * at once.
   */
  async drain(options: { readonly release: boolean }): Promise<void> {
    await this.#holder.drain();
    if (options.release) await this.#options.rights.releaseAll();
  }

  /** Number of teams with a state on this VM, for metrics and status. */
  teamCount(): number {
    return this.#holder.teamCount;
  }

  #chargeLocally(
    input: ChargeInput,
  ): Promise<ChargeResult | undefined> | undefined {
    const entry = this.#holder.entry(input.team);
    return entry === undefined ? undefined : this.#chargeAtEntry(entry, input);
  }

  #chargeAtEntry(
    entry: TeamEntry,
    input: ChargeInput,
  ): Promise<ChargeResult | undefined> {
    const { clock } = this.#options;
    const waitMs = input.deadlineElapsedMs - clock.elapsedMs();
    const { costTokens, signal } = input;
    const outcome = this.#holder.charge(entry, {
      costTokens,
      waitMs,
      ...(signal === undefined ? {} : { signal }),
    });
    if (!(outcome instanceof Promise)) {
      return Promise.resolve(toChargeResult(entry, outcome));
    }
    this.#options.metrics.increment("limits.waits");
    return outcome.then((settled) => toChargeResult(entry, settled));
  }

  async #chargeAtPeers(input: ChargeInput): Promise<ChargeResult> {
    const group = groupOfTeam(input.team);
    const result = await this.#peerCharges.charge(input, group);
    return this.#recordOutcome(input, this.#withLimit(input.team, result));
  }

  #withLimit(team: TeamId, result: ChargeResult): ChargeResult {
    if (result.limitTokens > 0) return result;
    const limits = this.#options.configuration.team(team)?.limits;
    return { ...result, limitTokens: limits?.burstTokens ?? 0 };
  }

  #recordOutcome(input: ChargeInput, result: ChargeResult): ChargeResult {
    const outcome = result.granted ? "granted" : result.code ?? "rate_limited";
    this.#options.metrics.increment("limits.charges", { outcome });
    this.#options.explainer.record(input.requestId, {
      step: "charge",
      known: {
        costTokens: input.costTokens,
        remainingTokens: result.remainingTokens,
      },
      chosen: { outcome, retryAfterMs: result.retryAfterMs },
    });
    return result;
  }
}

export function createLimitsTask(options: LimitsTaskOptions): LimitsTask {
  return new LimitsTask(options);
}
