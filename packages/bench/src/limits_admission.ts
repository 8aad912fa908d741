/**
 * Charging with the code of `packages/limits`: a holder of each team in each
 * failure domain, loans between the domains, messages with delay.
 *
 * @module
 */

import { brandId } from "@endivebend/types";
import type { FailureDomainId } from "@endivebend/types";
import {
  computeTerms,
  createTeamState,
  lenderWaitMs,
  nextWakeAtMs,
  step,
} from "@endivebend/limits";
import type {
  LimitsEffect,
  LimitsEvent,
  TeamState,
  TeamTerms,
} from "@endivebend/limits";
import { firstByRendezvous } from "@endivebend/routing";
import { CHARGE_WAIT_MS } from "./admission.ts";
import type { Admission, Charge } from "./admission.ts";
import type { World } from "./world.ts";

/** Defaults of the daemon's settings. */
const LOAN_LEASE_MS = 2_000;
const FLOOR_FRACTION = 0.25;
/** A lender that does not answer is given up after this time. */
const BORROW_TIMEOUT_MS = 400;

/** The bucket of one team in one failure domain. */
class TeamHolder {
  readonly nodeId: string;
  readonly #world: World;
  readonly #state: TeamState;
  readonly #waiting = new Map<string, Charge>();
  readonly #lenderOf: (domain: string) => TeamHolder | undefined;
  readonly #domain: string;
  isUp = true;
  #wakeAtMs = Infinity;

  constructor(options: {
    readonly world: World;
    readonly nodeId: string;
    readonly domain: string;
    readonly terms: TeamTerms;
    readonly isFirst: boolean;
    readonly lenderOf: (domain: string) => TeamHolder | undefined;
  }) {
    this.#world = options.world;
    this.nodeId = options.nodeId;
    this.#domain = options.domain;
    this.#lenderOf = options.lenderOf;
    const sinceMs = this.#nowMs();
    const quarantineMs = options.isFirst ? 0 : lenderWaitMs(LOAN_LEASE_MS);
    this.#state = createTeamState(options.terms, {
      sinceMs,
      quarantineUntilMs: sinceMs + quarantineMs,
      startsFull: options.isFirst,
    });
  }

  charge(charge: Charge): void {
    this.#waiting.set(charge.requestId, charge);
    this.#step({
      kind: "charge",
      id: charge.requestId,
      costTokens: charge.costTokens,
      deadlineMs: this.#nowMs() + CHARGE_WAIT_MS,
    });
  }

  /** The VM goes down; gives the charges that waited here. */
  stop(): Charge[] {
    this.isUp = false;
    const waiting = [...this.#waiting.values()];
    this.#waiting.clear();
    return waiting;
  }

  #step(event: LimitsEvent): LimitsEffect[] {
    if (!this.isUp) {
      return [];
    }
    const nowMs = this.#nowMs();
    const effects = step(this.#state, event, nowMs);
    effects.forEach((effect) => this.#perform(effect));
    this.#armWake(nowMs);
    return effects;
  }

  #perform(effect: LimitsEffect): void {
    if (effect.kind === "borrow") {
      this.#borrow(effect);
    }
    if (effect.kind !== "granted" && effect.kind !== "refused") {
      return;
    }
    const charge = this.#waiting.get(effect.id)!;
    this.#waiting.delete(effect.id);
    if (effect.kind === "granted") {
      charge.onSpent();
    }
    this.#world.send(this.nodeId, charge.router, () => {
      if (effect.kind === "granted") {
        charge.onGranted();
      } else {
        charge.onRefused(effect.code);
      }
    });
  }

  #borrow(effect: Extract<LimitsEffect, { kind: "borrow" }>): void {
    const { kind: _, lender, ...wanted } = effect;
    const requestedAtMs = this.#nowMs();
    let isAnswered = false;
    const finish = (event: LimitsEvent) => {
      if (!isAnswered) {
        isAnswered = true;
        this.#step(event);
      }
    };
    this.#world.time.after(
      BORROW_TIMEOUT_MS,
      () => finish({ kind: "loan_failed", lender }),
    );
    const target = this.#lenderOf(lender);
    if (target === undefined) {
      return;
    }
    this.#world.send(this.nodeId, target.nodeId, () => {
      const effects = target.#step({
        kind: "borrow_requested",
        borrower: this.#domain,
        ...wanted,
      });
      const lent = effects.find((one) => one.kind === "lent");
      if (lent === undefined) {
        return;
      }
      this.#world.send(target.nodeId, this.nodeId, () => {
        finish({ ...lent, kind: "loan_received", lender, requestedAtMs });
      });
    });
  }

  #armWake(nowMs: number): void {
    const wakeAtMs = nextWakeAtMs(this.#state, nowMs);
    if (wakeAtMs === Infinity || wakeAtMs >= this.#wakeAtMs) {
      return;
    }
    this.#wakeAtMs = wakeAtMs;
    this.#world.time.at(wakeAtMs, () => {
      if (this.#wakeAtMs === wakeAtMs) {
        this.#wakeAtMs = Infinity;
        this.#step({ kind: "wake" });
      }
    });
  }

  #nowMs(): number {
    return Math.floor(this.#world.time.nowMs);
  }
}

/** Holders of all teams. */
export class LimitsAdmission implements Admission {
  readonly #world: World;
  readonly #holders = new Map<string, TeamHolder>();
  readonly #domains: readonly string[];
  /** Charges that wait for any holder to be up. */
  readonly #unplaced: Charge[] = [];

  constructor(world: World) {
    this.#world = world;
    const { routers, teams } = world.header;
    this.#domains = [...new Set(routers.map(({ domain }) => domain))];
    for (const domain of this.#domains) {
      teams.forEach(({ id }) => this.#start(id, { domain, isFirst: true }));
    }
  }

  /** Charges at the own domain's holder, or at another one while it is down. */
  charge(charge: Charge): void {
    const own = this.#world.domainOf(charge.router);
    const holders = [own, ...this.#domains].map((domain) =>
      this.#holders.get(key(charge.team, domain))!
    );
    const holder = holders.find(({ isUp }) => isUp);
    if (holder === undefined) {
      this.#unplaced.push(charge);
      return;
    }
    this.#world.send(charge.router, holder.nodeId, () => {
      if (holder.isUp) {
        holder.charge(charge);
      } else {
        this.charge(charge);
      }
    });
  }

  onRoutersDown(routers: readonly string[]): void {
    const stopped = [...this.#holders.values()].filter(({ nodeId }) =>
      routers.includes(nodeId)
    );
    const waiting = stopped.flatMap((holder) => holder.stop());
    // Callers of a router that is down connect and charge again by themselves.
    const kept = waiting.filter(({ router }) => !routers.includes(router));
    kept.forEach((charge) => this.charge(charge));
  }

  onRoutersUp(): void {
    for (const domain of this.#domains) {
      for (const { id } of this.#world.header.teams) {
        if (!this.#holders.get(key(id, domain))!.isUp) {
          this.#start(id, { domain, isFirst: false });
        }
      }
    }
    const unplaced = this.#unplaced.splice(0);
    unplaced.forEach((charge) => this.charge(charge));
  }

  #start(
    team: string,
    options: { readonly domain: string; readonly isFirst: boolean },
  ): void {
    const { domain, isFirst } = options;
    const { header } = this.#world;
    const near = header.routers.filter((router) => router.domain === domain);
    const nodeId = firstByRendezvous(team, near.map(({ id }) => id))!;
    const limits = header.teams.find(({ id }) => id === team)!;
    const domains = this.#domains.map((id) => brandId<FailureDomainId>(id));
    const terms = computeTerms(limits, {
      splits: [{ revision: 1, domains }],
      domain: brandId<FailureDomainId>(domain),
      lending: { loanLeaseMs: LOAN_LEASE_MS, floorFraction: FLOOR_FRACTION },
    });
    const holder = new TeamHolder({
      world: this.#world,
      nodeId,
      domain,
      terms,
      isFirst,
      lenderOf: (lender) => this.#holders.get(key(team, lender)),
    });
    this.#holders.set(key(team, domain), holder);
  }
}

function key(team: string, domain: string): string {
  return `${team} ${domain}`;
}
