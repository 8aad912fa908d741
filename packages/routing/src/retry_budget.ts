/**
 * Limits retries to a fraction of the requests, so that retries cannot multiply
 * the load during an outage.
 *
 * @module
 */

import type { BackendServerId, TeamId } from "@endivebend/types";

/** Settings of a `RetryBudget`. */
export interface RetryBudgetOptions {
  /** Retries per request; 0.1 when absent. */
  readonly ratio?: number;
  /** Retries available without earlier requests; 3 when absent. */
  readonly reserve?: number;
}

const DEFAULT_RATIO = 0.1;
const DEFAULT_RESERVE = 3;
/** Maximum of a budget, in multiples of the reserve. */
const MAX_RESERVE_MULTIPLE = 10;
/** Time in which a budget below the reserve regains one retry. */
const RESERVE_REFILL_MS = 10_000;
/**
 * Maximum number of budgets. Above it the oldest is dropped, which loses
 * nothing when that budget is full.
 */
const MAX_BUDGETS = 10_000;

interface Budget {
  tokens: number;
  refilledAtMs: number;
}

/**
 * Token buckets for retries, one per pair of team and backend server.
 *
 * @example
 * ```ts
 * budget.recordRequest({ team, server, nowMs });
 * if (budget.tryRetry({ team, server, nowMs })) sendAgain();
 * ```
 */
export class RetryBudget {
  readonly #ratio: number;
  readonly #reserve: number;
  readonly #budgets = new Map<string, Budget>();

  constructor(options: RetryBudgetOptions = {}) {
    this.#ratio = options.ratio ?? DEFAULT_RATIO;
    this.#reserve = options.reserve ?? DEFAULT_RESERVE;
  }

  /** Counts a first attempt, which earns a fraction of a retry. */
  recordRequest(use: RetryBudgetUse): void {
    const budget = this.#budgetOf(use);
    const maxTokens = this.#reserve * MAX_RESERVE_MULTIPLE;
    budget.tokens = Math.min(maxTokens, budget.tokens + this.#ratio);
  }

  /** Takes one retry from the budget. Returns false when none is left. */
  tryRetry(use: RetryBudgetUse): boolean {
    const budget = this.#budgetOf(use);
    // Ratios such as 0.1 do not sum to exactly 1 in floating point.
    if (budget.tokens < 1 - 1e-9) {
      return false;
    }
    budget.tokens -= 1;
    return true;
  }

  #budgetOf(use: RetryBudgetUse): Budget {
    const key = JSON.stringify([use.team, use.server]);
    const known = this.#budgets.get(key);
    if (known !== undefined) {
      this.#refill(known, use.nowMs);
      return known;
    }
    if (this.#budgets.size >= MAX_BUDGETS) {
      this.#dropOldest();
    }
    const fresh = { tokens: this.#reserve, refilledAtMs: use.nowMs };
    this.#budgets.set(key, fresh);
    return fresh;
  }

  #refill(budget: Budget, nowMs: number): void {
    const earned = (nowMs - budget.refilledAtMs) / RESERVE_REFILL_MS;
    if (earned <= 0) {
      return;
    }
    budget.refilledAtMs = nowMs;
    if (budget.tokens < this.#reserve) {
      budget.tokens = Math.min(this.#reserve, budget.tokens + earned);
    }
  }

  #dropOldest(): void {
    const [oldest] = this.#budgets.keys();
    if (oldest !== undefined) {
      this.#budgets.delete(oldest);
    }
  }
}

/** The budget that a request or retry counts against. */
export interface RetryBudgetUse {
  readonly team: TeamId;
  readonly server: BackendServerId;
  readonly nowMs: number;
}
