/**
 * Charges, lends and borrows for the teams that a simulated VM holds.
 *
 * @module
 */

import { holderOf, splitsInUse } from "@endivebend/rights";
import { brandId, type FailureDomainId } from "@endivebend/types";
import type { LimitsEffect, LimitsEvent } from "../events.ts";
import { heldCapacityTokens } from "../level.ts";
import { createTeamState, type TeamState } from "../state.ts";
import { hasNothingLent, isIdle, nextWakeAtMs, step } from "../step.ts";
import { computeTerms } from "../terms.ts";
import { groupOf, type SimulatedVm } from "./vm.ts";
import type { World } from "./world.ts";

const BORROW_TIMEOUT_MS = 400;
const SWEEP_INTERVAL_MS = 1000;

/** Result of a charge at a holder. */
export type ChargeOutcome = "granted" | "refused" | "not_holder";

interface TeamEntry {
  readonly team: string;
  readonly state: TeamState;
  readonly waiting: Map<
    string,
    { readonly costTokens: number; readonly done: (o: ChargeOutcome) => void }
  >;
  wakeAtMs: number;
}

/** The holder that runs in one incarnation of a VM. */
export class SimulatedHolder {
  readonly #world: World;
  readonly #vm: SimulatedVm;
  readonly #entries = new Map<string, TeamEntry>();
  #isDraining = false;
  #chargeCount = 0;

  constructor(world: World, vm: SimulatedVm) {
    this.#world = world;
    this.#vm = vm;
    vm.afterLocal(SWEEP_INTERVAL_MS, () => this.#sweep());
  }

  /** Charges a cost; `not_holder` if the team is not held here. */
  charge(
    team: string,
    request: { readonly costTokens: number; readonly waitMs: number },
    done: (outcome: ChargeOutcome) => void,
  ): void {
    const entry = this.#entry(team);
    if (entry === undefined) return done("not_holder");
    const id = String(this.#chargeCount++);
    entry.waiting.set(id, { costTokens: request.costTokens, done });
    this.#step(entry, {
      kind: "charge",
      id,
      costTokens: request.costTokens,
      deadlineMs: this.#vm.nowMs() + request.waitMs,
    });
  }

  /** Capacity of a team that this VM holds now, in tokens. */
  heldCapacityTokens(team: string): number {
    const start = this.#vm.holdingStart(groupOf(team));
    if (start === undefined) return 0;
    const nowMs = this.#vm.nowMs();
    const state = this.#entries.get(team)?.state ??
      createTeamState(this.#terms(team), start);
    return heldCapacityTokens({
      ...state,
      loansOut: state.loansOut.filter((loan) => loan.untilMs > nowMs),
      loansIn: state.loansIn.filter((loan) => loan.untilMs > nowMs),
    });
  }

  hasNothingLent(): boolean {
    const nowMs = this.#vm.nowMs();
    return [...this.#entries.values()]
      .every((entry) => hasNothingLent(entry.state, nowMs));
  }

  setDraining(isDraining: boolean): void {
    this.#isDraining = isDraining;
    const kind = isDraining ? "drain_started" : "drain_ended";
    for (const entry of this.#entries.values()) this.#step(entry, { kind });
  }

  /** Drops teams that are no longer held and updates the others' terms. */
  applyRightsChange(): void {
    for (const entry of [...this.#entries.values()]) {
      const isHeld = this.#vm.holdingStart(groupOf(entry.team)) !== undefined;
      if (!isHeld) this.#drop(entry);
      else {this.#step(entry, {
          kind: "terms_changed",
          terms: this.#terms(entry.team),
        });}
    }
  }

  #terms(team: string) {
    const limit = this.#world.limits.get(team);
    if (limit === undefined) {
      throw new Error(
        `No limit for team ${team}; add it to the limits of the fleet`,
      );
    }
    return computeTerms(limit, {
      splits: splitsInUse(this.#vm.state, groupOf(team)),
      domain: brandId<FailureDomainId>(this.#vm.domain),
      lending: this.#world.lending,
    });
  }

  #entry(team: string): TeamEntry | undefined {
    const start = this.#vm.holdingStart(groupOf(team));
    if (start === undefined) return undefined;
    const known = this.#entries.get(team);
    if (known !== undefined) return known;
    const state = createTeamState(this.#terms(team), start);
    state.draining = this.#isDraining;
    const entry = { team, state, waiting: new Map(), wakeAtMs: Infinity };
    this.#entries.set(team, entry);
    return entry;
  }

  #drop(entry: TeamEntry): void {
    this.#entries.delete(entry.team);
    for (const { done } of entry.waiting.values()) done("not_holder");
    entry.waiting.clear();
  }

  #step(entry: TeamEntry, event: LimitsEvent): LimitsEffect[] {
    if (this.#entries.get(entry.team) !== entry) return [];
    const nowMs = this.#vm.nowMs();
    const effects = step(entry.state, event, nowMs);
    for (const effect of effects) this.#perform(entry, effect);
    this.#scheduleWake(entry, nowMs);
    return effects;
  }

  #perform(entry: TeamEntry, effect: LimitsEffect): void {
    if (effect.kind === "borrow") this.#borrow(entry, effect);
    if (!("id" in effect)) return;
    const charge = entry.waiting.get(effect.id);
    entry.waiting.delete(effect.id);
    if (charge === undefined) return;
    if (effect.kind === "granted") {
      const { nowUs } = this.#world.queue;
      this.#world.ledgers.get(entry.team)?.recordGrant(
        charge.costTokens,
        nowUs,
      );
    }
    charge.done(effect.kind);
  }

  #scheduleWake(entry: TeamEntry, nowMs: number): void {
    const wakeAtMs = nextWakeAtMs(entry.state, nowMs);
    if (wakeAtMs >= entry.wakeAtMs || wakeAtMs === Infinity) return;
    entry.wakeAtMs = wakeAtMs;
    this.#vm.afterLocal(wakeAtMs - nowMs, () => {
      if (entry.wakeAtMs !== wakeAtMs) return;
      entry.wakeAtMs = Infinity;
      this.#step(entry, { kind: "wake" });
    });
  }

  #lenderVm(entry: TeamEntry, lender: string): SimulatedVm | undefined {
    const vmId = holderOf(this.#vm.state, {
      domain: brandId<FailureDomainId>(lender),
      group: groupOf(entry.team),
    });
    return vmId === undefined ? undefined : this.#world.vms.get(vmId);
  }

  #borrow(
    entry: TeamEntry,
    effect: Extract<LimitsEffect, { kind: "borrow" }>,
  ): void {
    let isAnswered = false;
    const finish = (event: LimitsEvent) => {
      if (isAnswered) return;
      isAnswered = true;
      this.#step(entry, event);
    };
    const { lender } = effect;
    const requestedAtMs = this.#vm.nowMs();
    const timeoutMs = BORROW_TIMEOUT_MS;
    this.#vm.afterLocal(
      timeoutMs,
      () => finish({ kind: "loan_failed", lender }),
    );
    const target = this.#lenderVm(entry, lender);
    if (target === undefined) return;
    const { incarnation } = this.#vm;
    this.#world.network.send(this.#vm, target, () => {
      const lent = target.holder.#lend(entry.team, {
        ...effect,
        borrower: this.#vm.name,
      });
      this.#world.network.send(target, this.#vm, () => {
        if (this.#vm.incarnation !== incarnation) return;
        if (lent === undefined) return finish({ kind: "loan_failed", lender });
        finish({ ...lent, kind: "loan_received", lender, requestedAtMs });
      });
    });
  }

  #lend(
    team: string,
    request: Omit<
      Extract<LimitsEvent, { kind: "borrow_requested" }>,
      "kind"
    >,
  ): Extract<LimitsEffect, { kind: "lent" }> | undefined {
    const entry = this.#entry(team);
    if (entry === undefined) return undefined;
    const { borrower, wantCapacityTokens, wantTokens } = request;
    const effects = this.#step(entry, {
      kind: "borrow_requested",
      borrower,
      wantCapacityTokens,
      wantTokens,
    });
    return effects.find((effect) => effect.kind === "lent");
  }

  #sweep(): void {
    for (const entry of [...this.#entries.values()]) {
      if (isIdle(entry.state, this.#vm.nowMs())) this.#drop(entry);
    }
    this.#vm.afterLocal(SWEEP_INTERVAL_MS, () => this.#sweep());
  }
}
