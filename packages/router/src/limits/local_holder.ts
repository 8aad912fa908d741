/**
 * Holds the limit states, timers and waiting charges of the teams whose groups
 * this VM holds.
 *
 * @module
 */

import {
  computeTerms,
  createTeamState,
  hasNothingLent,
  isIdle,
  type LendingSettings,
  type LimitsEffect,
  type LimitsEvent,
  nextWakeAtMs,
  step,
  type TeamState,
} from "@endivebend/limits";
import { groupOfTeam } from "@endivebend/rights";
import type { TeamGroup, TeamId } from "@endivebend/types";
import type {
  Clock,
  ConfigurationView,
  Identity,
  Metrics,
  Scheduler,
} from "../ports.ts";
import type { RightsView } from "./rights_task.ts";
import { missedTimeMs, steadyNowMs } from "./steady_clock.ts";

const IDLE_CHECK_INTERVAL_MS = 5000;
/**
 * Smaller jumps between the clocks are ignored: two readings that are not taken
 * at the same instant differ by less than this.
 */
const MIN_MISSED_TIME_MS = 2;
const MAX_TIMER_DELAY_MS = 60_000;

/** Outcome of a charge at the holder. */
export type LocalOutcome =
  | { readonly kind: "granted" }
  | {
    readonly kind: "refused";
    readonly code: "rate_limited" | "cost_exceeds_burst";
    readonly retryAfterMs: number;
  }
  /** The group moved to another VM while the charge waited. */
  | { readonly kind: "not_holder" };

/** State of one team at this holder. */
export interface TeamEntry {
  readonly team: TeamId;
  readonly group: TeamGroup;
  readonly state: TeamState;
  readonly resolvers: Map<string, (outcome: LocalOutcome) => void>;
  termsVersion: number;
  wakeAtMs: number;
  cancelWake: () => void;
}

/** A loan to request from another domain. */
export type BorrowEffect = Extract<LimitsEffect, { kind: "borrow" }>;
/** A loan that this holder grants. */
export type LentEffect = Extract<LimitsEffect, { kind: "lent" }>;

/** Dependencies of {@link LocalHolder}. */
export interface LocalHolderOptions {
  readonly identity: Identity;
  readonly rights: RightsView;
  readonly configuration: ConfigurationView;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly metrics: Metrics;
  readonly lending: LendingSettings;
  /**
   * Requests a loan from another domain's holder; the result is a loan event
   * that is applied to the entry.
   */
  readonly borrow: (entry: TeamEntry, effect: BorrowEffect) => void;
}

const GRANTED: LocalOutcome = { kind: "granted" };

/** Charges, borrows and lends for the teams that this VM holds. */
export class LocalHolder {
  readonly #options: LocalHolderOptions;
  readonly #entries = new Map<TeamId, TeamEntry>();
  readonly #drainingGroups = new Set<TeamGroup>();
  #isDraining = false;
  #configurationVersion = 0;
  #rightsVersion = -1;
  #chargeCount = 0;
  #appliedMissedMs: number;
  #stopped = false;

  constructor(options: LocalHolderOptions) {
    this.#options = options;
    this.#appliedMissedMs = missedTimeMs(options.clock);
    options.configuration.onChange(() => this.#configurationVersion++);
    options.rights.onChange(() => this.#applyRightsChange());
  }

  /** Starts the periodic removal of idle teams' states. */
  start(): void {
    this.#options.scheduler.after(IDLE_CHECK_INTERVAL_MS, () => {
      if (this.#stopped) return;
      this.#dropIdleEntries();
      this.start();
    });
  }

  stop(): void {
    this.#stopped = true;
    for (const entry of this.#entries.values()) this.#dropEntry(entry);
  }

  /** Number of teams with a state on this VM. */
  get teamCount(): number {
    return this.#entries.size;
  }

  /**
   * Returns the team's state, which is created on first use, or undefined when
   * this VM does not hold the team's group or the team does not exist.
   */
  entry(team: TeamId): TeamEntry | undefined {
    if (this.#stopped) return undefined;
    const known = this.#entries.get(team);
    const group = known?.group ?? groupOfTeam(team);
    const start = this.#options.rights.holdingStart(group);
    if (start === undefined) return undefined;
    if (known !== undefined) return this.#refreshTerms(known);
    const terms = this.#computeTerms(team, group);
    if (terms === undefined) return undefined;
    const entry: TeamEntry = {
      team,
      group,
      state: createTeamState(terms, start),
      resolvers: new Map(),
      termsVersion: this.#configurationVersion,
      wakeAtMs: Infinity,
      cancelWake: () => {},
    };
    this.#entries.set(team, entry);
    if (this.#isDraining || this.#drainingGroups.has(group)) {
      entry.state.draining = true;
    }
    return entry;
  }

  /** Charges a team; returns a promise only when the charge has to wait. */
  charge(
    entry: TeamEntry,
    input: {
      readonly costTokens: number;
      readonly waitMs: number;
      readonly signal?: AbortSignal;
    },
  ): LocalOutcome | Promise<LocalOutcome> {
    const nowMs = this.#nowMs();
    const id = String(this.#chargeCount++);
    const effects = step(entry.state, {
      kind: "charge",
      id,
      costTokens: input.costTokens,
      deadlineMs: nowMs + Math.floor(input.waitMs),
    }, nowMs);
    const outcome = findOutcome(effects, id);
    if (outcome !== undefined) {
      this.#performEffects(entry, effects, nowMs);
      return outcome;
    }
    return new Promise((resolve) => {
      entry.resolvers.set(id, resolve);
      this.#performEffects(entry, effects, nowMs);
      input.signal?.addEventListener("abort", () => {
        if (!entry.resolvers.delete(id)) return;
        this.apply(entry, { kind: "charge_cancelled", id });
      }, { once: true });
    });
  }

  /** Applies an event other than a charge; returns the loan it granted, if any. */
  apply(entry: TeamEntry, event: LimitsEvent): LentEffect | undefined {
    if (this.#entries.get(entry.team) !== entry) return undefined;
    const nowMs = this.#nowMs();
    const effects = step(entry.state, event, nowMs);
    this.#performEffects(entry, effects, nowMs);
    return effects.find((effect) => effect.kind === "lent");
  }

  /**
   * Stops lending from the given groups, or from all groups without an
   * argument. Resolves when no loan is outstanding.
   */
  async drain(groups?: readonly TeamGroup[]): Promise<void> {
    if (groups === undefined) this.#isDraining = true;
    for (const group of groups ?? []) this.#drainingGroups.add(group);
    const isAffected = (entry: TeamEntry) =>
      groups === undefined || groups.includes(entry.group);
    for (const entry of [...this.#entries.values()].filter(isAffected)) {
      this.apply(entry, { kind: "drain_started" });
    }
    // A team without a state has lent nothing since this VM received the group,
    // but a previous holder may have lent: those loans end with the quarantine.
    await this.#waitUntil(this.#quarantineEndMs(groups));
    const lending = () =>
      [...this.#entries.values()].filter((entry) =>
        isAffected(entry) && !hasNothingLent(entry.state, this.#nowMs())
      );
    for (
      let remaining = lending();
      remaining.length > 0;
      remaining = lending()
    ) {
      await this.#waitUntil(Math.min(...remaining.map(lastLoanEndsAtMs)));
    }
  }

  /** Ends the drain of groups; they lend again. */
  resumeLending(groups: readonly TeamGroup[]): void {
    for (const group of groups) this.#drainingGroups.delete(group);
    for (const entry of this.#entries.values()) {
      if (!groups.includes(entry.group) || this.#isDraining) continue;
      this.apply(entry, { kind: "drain_ended" });
    }
  }

  #quarantineEndMs(groups: readonly TeamGroup[] | undefined): number {
    const { rights } = this.#options;
    const affectedGroups = groups ?? rights.heldGroups();
    return Math.max(
      0,
      ...affectedGroups.map((group) =>
        rights.holdingStart(group)?.quarantineUntilMs ?? 0
      ),
    );
  }

  #waitUntil(targetMs: number): Promise<void> {
    const delayMs = targetMs - this.#nowMs();
    if (delayMs <= 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#options.scheduler.after(delayMs, resolve);
    });
  }

  #nowMs(): number {
    const { clock } = this.#options;
    const missedMs = missedTimeMs(clock);
    const jumpMs = missedMs - this.#appliedMissedMs;
    if (jumpMs >= MIN_MISSED_TIME_MS) {
      this.#appliedMissedMs = missedMs;
      this.#applyMissedTime(jumpMs, steadyNowMs(clock));
    }
    return steadyNowMs(clock);
  }

  /**
   * Shortens the leases of borrowed tokens by the time that the VM was
   * suspended, before any of these tokens are spent.
   */
  #applyMissedTime(missedMs: number, nowMs: number): void {
    for (const entry of this.#entries.values()) {
      if (entry.state.loansIn.length === 0) continue;
      // Adds one millisecond because both readings were rounded down.
      const event = { kind: "time_missed", missedMs: missedMs + 1 } as const;
      this.#performEffects(entry, step(entry.state, event, nowMs), nowMs);
    }
  }

  #computeTerms(team: TeamId, group: TeamGroup) {
    const view = this.#options.configuration.team(team);
    if (view === undefined) return undefined;
    return computeTerms(view.limits, {
      splits: this.#options.rights.splits(group),
      domain: this.#options.identity.failureDomain,
      lending: this.#options.lending,
    });
  }

  #refreshTerms(entry: TeamEntry): TeamEntry | undefined {
    if (entry.termsVersion === this.#configurationVersion) return entry;
    return this.#renewTerms(entry);
  }

  #renewTerms(entry: TeamEntry): TeamEntry | undefined {
    const terms = this.#computeTerms(entry.team, entry.group);
    // The state of a removed team is kept until it is idle. Otherwise a team
    // that is removed and created again would start with a full bucket.
    if (terms === undefined) return undefined;
    entry.termsVersion = this.#configurationVersion;
    this.apply(entry, { kind: "terms_changed", terms });
    return entry;
  }

  /**
   * Applies a change of rights to all teams. Shares must follow a change of the
   * domains at once, not at the next use of the team.
   */
  #applyRightsChange(): void {
    const { rights } = this.#options;
    const version = rights.version();
    const hasStateChanged = version !== this.#rightsVersion;
    this.#rightsVersion = version;
    for (const entry of [...this.#entries.values()]) {
      if (rights.holdingStart(entry.group) === undefined) {
        this.#dropEntry(entry);
      } else if (hasStateChanged) this.#renewTerms(entry);
    }
  }

  #dropEntry(entry: TeamEntry): void {
    entry.cancelWake();
    this.#entries.delete(entry.team);
    for (const resolve of entry.resolvers.values()) {
      resolve({ kind: "not_holder" });
    }
    entry.resolvers.clear();
  }

  #performEffects(
    entry: TeamEntry,
    effects: readonly LimitsEffect[],
    nowMs: number,
  ): void {
    for (const effect of effects) {
      if (effect.kind === "borrow") this.#options.borrow(entry, effect);
      else if (effect.kind !== "lent") resolveCharge(entry, effect);
    }
    this.#scheduleWake(entry, nowMs);
  }

  #scheduleWake(entry: TeamEntry, nowMs: number): void {
    const wakeAtMs = nextWakeAtMs(entry.state, nowMs);
    if (wakeAtMs >= entry.wakeAtMs || wakeAtMs === Infinity) return;
    entry.cancelWake();
    entry.wakeAtMs = wakeAtMs;
    const delayMs = Math.min(wakeAtMs - nowMs, MAX_TIMER_DELAY_MS);
    entry.cancelWake = this.#options.scheduler.after(delayMs, () => {
      entry.wakeAtMs = Infinity;
      this.apply(entry, { kind: "wake" });
    });
  }

  #dropIdleEntries(): void {
    const nowMs = this.#nowMs();
    for (const entry of [...this.#entries.values()]) {
      if (isIdle(entry.state, nowMs)) this.#dropEntry(entry);
    }
    this.#options.metrics.gauge("limits.teams_with_state", this.teamCount);
  }
}

function lastLoanEndsAtMs(entry: TeamEntry): number {
  return Math.max(...entry.state.loansOut.map((loan) => loan.untilMs));
}

function toOutcome(effect: LimitsEffect): LocalOutcome | undefined {
  if (effect.kind === "granted") return GRANTED;
  if (effect.kind !== "refused") return undefined;
  const { code, retryAfterMs } = effect;
  return { kind: "refused", code, retryAfterMs };
}

function findOutcome(
  effects: readonly LimitsEffect[],
  id: string,
): LocalOutcome | undefined {
  for (const effect of effects) {
    if ("id" in effect && effect.id === id) return toOutcome(effect);
  }
  return undefined;
}

function resolveCharge(entry: TeamEntry, effect: LimitsEffect): void {
  const outcome = toOutcome(effect);
  if (outcome === undefined || !("id" in effect)) return;
  const resolve = entry.resolvers.get(effect.id);
  entry.resolvers.delete(effect.id);
  resolve?.(outcome);
}
