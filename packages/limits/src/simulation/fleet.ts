/**
 * A simulated fleet under load and faults.
 *
 * @module
 */

import { holderOf } from "@endivebend/rights";
import { brandId, type FailureDomainId, type TeamId } from "@endivebend/types";
import { toRateMilli } from "../fixed_point.ts";
import { chargingDomain, otherDomains } from "../terms.ts";
import { EventQueue } from "./event_queue.ts";
import type { ChargeOutcome } from "./holder.ts";
import { IdealBucket, Ledger, type LedgerLimit } from "./ledger.ts";
import { SimulatedLog } from "./log.ts";
import { Network, type NetworkQuality } from "./network.ts";
import { Random } from "./random.ts";
import { groupOf, SimulatedVm } from "./vm.ts";
import type { TeamLimit, World } from "./world.ts";

const RETRY_MS = 50;
const ANSWER_TIMEOUT_MS = 500;
const MAX_DRIFT_PPM = 10_000;
const MAX_CLOCK_OFFSET_MS = 1000;
const VM_LIST_LAG_US = 500_000;

/** Parameters of a simulated fleet. */
export interface FleetOptions {
  readonly seed: number;
  readonly domains: number;
  readonly vmsPerDomain: number;
  readonly limits: ReadonlyMap<string, TeamLimit>;
  readonly loanLeaseMs: number;
  readonly floorFraction: number;
  readonly network: NetworkQuality;
  readonly logFaultProbability: number;
}

/** A request of a team that arrives at a VM. */
export interface SimulatedRequest {
  readonly team: string;
  readonly costTokens: number;
  readonly waitMs: number;
  readonly done?: (result: SimulatedResult) => void;
}

/** How a request ended. */
export interface SimulatedResult {
  readonly isGranted: boolean;
  /** True if an ideal limiter would have granted it at once. */
  readonly isWithinLimit: boolean;
  readonly waitedMs: number;
}

/** Numbers of requests by result. */
export interface FleetCounts {
  granted: number;
  refused: number;
  /** Requests sent to a VM that was down; they get no result. */
  sentToDownVm: number;
}

/** Simulates a fleet and counts the results of its requests. */
export class FleetSimulation {
  readonly queue = new EventQueue();
  readonly random: Random;
  readonly world: World;
  readonly counts: FleetCounts = {
    granted: 0,
    refused: 0,
    sentToDownVm: 0,
  };
  readonly #ended = new Set<string>();
  readonly #ideal = new Map<string, IdealBucket>();
  #vmCount = 0;

  constructor(options: FleetOptions) {
    this.random = new Random(options.seed);
    const limits = new Map<string, LedgerLimit>();
    for (const [team, limit] of options.limits) {
      const rateMilli = toRateMilli(limit.rateTokensPerSecond);
      limits.set(team, { rateMilli, burstTokens: limit.burstTokens });
    }
    for (const [team, limit] of limits) {
      this.#ideal.set(team, new IdealBucket(limit));
    }
    const domains = Array.from(
      { length: options.domains },
      (_, index) => `d${index}`,
    );
    this.world = {
      queue: this.queue,
      random: this.random,
      network: new Network(this.queue, this.random, options.network),
      log: new SimulatedLog(
        this.queue,
        this.random,
        options.logFaultProbability,
      ),
      vms: new Map(),
      limits: options.limits,
      ledgers: new Map(
        [...limits].map(([team, limit]) => [team, new Ledger(limit)]),
      ),
      lending: options,
      domains,
      ended: this.#ended,
    };
    for (const domain of domains) {
      for (let count = 0; count < options.vmsPerDomain; count++) {
        this.addVm(domain);
      }
    }
  }

  /** Adds a VM to a domain and starts it. */
  addVm(domain: string): SimulatedVm {
    const vm = new SimulatedVm(this.world, {
      name: `vm${this.#vmCount++}`,
      domain,
      driftPpm: this.random.int(-MAX_DRIFT_PPM, MAX_DRIFT_PPM),
      clockOffsetMs: this.random.int(0, MAX_CLOCK_OFFSET_MS * 1000) / 1000,
    });
    this.world.vms.set(vm.name, vm);
    vm.start();
    return vm;
  }

  /** Stops a VM's process and starts it again after `downUs`. */
  restart(vm: SimulatedVm, downUs: number): void {
    vm.stop();
    this.queue.after(downUs, () => {
      if (!this.#ended.has(vm.name) && !vm.isUp) vm.start();
    });
  }

  /** Ends a VM permanently and starts another in its domain. */
  replace(vm: SimulatedVm): void {
    vm.stop();
    this.queue.after(VM_LIST_LAG_US, () => {
      vm.stop();
      this.#ended.add(vm.name);
      this.addVm(vm.domain);
    });
  }

  runUntil(moment: { readonly ms: number }): void {
    this.queue.runUntil(moment.ms * 1000);
  }

  /** The largest excess of any team over its limit, in tokens. */
  excessTokens(): number {
    const ledgers = [...this.world.ledgers.values()];
    return Math.max(...ledgers.map((ledger) => ledger.excessTokens()));
  }

  /**
   * Largest capacity of any team that running VMs together hold above the burst
   * now, in tokens. It shows a fault even if no load uses the capacity.
   */
  excessCapacityTokens(): number {
    let largest = 0;
    for (const [team, limit] of this.world.limits) {
      let held = 0;
      for (const vm of this.world.vms.values()) {
        if (vm.isUp) held += vm.holder.heldCapacityTokens(team);
      }
      largest = Math.max(largest, held - limit.burstTokens);
    }
    return largest;
  }

  /** Sends a request to a VM. */
  request(vm: SimulatedVm, request: SimulatedRequest): void {
    const { nowUs } = this.queue;
    const isWithinLimit = this.#ideal.get(request.team)
      ?.charge(request.costTokens, nowUs) ?? false;
    const { incarnation } = vm;
    const finish = (outcome: ChargeOutcome) => {
      if (outcome === "granted") this.counts.granted++;
      else this.counts.refused++;
      request.done?.({
        isGranted: outcome === "granted",
        isWithinLimit,
        waitedMs: (this.queue.nowUs - nowUs) / 1000,
      });
    };
    if (!vm.isUp) {
      this.counts.sentToDownVm++;
      return;
    }
    const deadlineMs = vm.nowMs() + request.waitMs;
    this.#tryCharge(vm, { ...request, deadlineMs, incarnation }, {
      targets: this.#targets(vm, request),
      finish,
    });
  }

  #targets(vm: SimulatedVm, request: SimulatedRequest): SimulatedVm[] {
    const { team, costTokens } = request;
    const group = groupOf(team);
    const own = brandId<FailureDomainId>(vm.domain);
    const splits = vm.state.splits;
    const first = chargingDomain(brandId<TeamId>(team), {
      splits,
      domain: own,
      burstTokens: this.world.limits.get(team)?.burstTokens ?? 0,
      costTokens,
    });
    return [first, ...otherDomains(splits, first)].flatMap((domain) => {
      const vmId = holderOf(vm.state, { domain, group });
      const holder = vmId && this.world.vms.get(vmId);
      return holder ? [holder] : [];
    });
  }

  #tryCharge(
    vm: SimulatedVm,
    request: SimulatedRequest & {
      readonly deadlineMs: number;
      readonly incarnation: number;
    },
    progress: {
      readonly targets: readonly SimulatedVm[];
      readonly finish: (outcome: ChargeOutcome) => void;
    },
  ): void {
    const { finish } = progress;
    const [target, ...targets] = progress.targets;
    const waitMs = request.deadlineMs - vm.nowMs();
    if (target === undefined) {
      if (waitMs <= 0) return finish("refused");
      vm.afterLocal(RETRY_MS, () =>
        this.#tryCharge(vm, request, {
          targets: this.#targets(vm, request),
          finish,
        }));
      return;
    }
    let isDone = false;
    const done = (outcome: ChargeOutcome | "no_answer") => {
      if (isDone || vm.incarnation !== request.incarnation) return;
      isDone = true;
      const isFinal = outcome === "granted" || outcome === "refused";
      if (isFinal) return finish(outcome);
      this.#tryCharge(vm, request, { targets, finish });
    };
    this.#chargeAt(
      vm,
      target,
      { ...request, waitMs: Math.max(0, waitMs) },
      done,
    );
  }

  #chargeAt(
    vm: SimulatedVm,
    target: SimulatedVm,
    request: SimulatedRequest,
    done: (outcome: ChargeOutcome | "no_answer") => void,
  ): void {
    const { team } = request;
    if (target === vm) return vm.holder.charge(team, request, done);
    const { network } = this.world;
    network.send(vm, target, () => {
      target.holder.charge(team, request, (outcome) => {
        network.send(target, vm, () => done(outcome));
      });
    });
    this.#watchTarget(vm, target, { done, remainingMs: request.waitMs });
  }

  /**
   * Gives up on a holder that stops answering: as pings to it would fail, this
   * need not wait for the request's deadline.
   */
  #watchTarget(
    vm: SimulatedVm,
    target: SimulatedVm,
    call: {
      readonly done: (outcome: "no_answer") => void;
      readonly remainingMs: number;
    },
  ): void {
    const { incarnation } = target;
    vm.afterLocal(ANSWER_TIMEOUT_MS, () => {
      const isSilent = !target.isUp || target.isPaused ||
        target.incarnation !== incarnation ||
        !this.world.network.reaches(vm, target);
      const remainingMs = call.remainingMs - ANSWER_TIMEOUT_MS;
      if (isSilent || remainingMs <= 0) return call.done("no_answer");
      this.#watchTarget(vm, target, { ...call, remainingMs });
    });
  }
}
