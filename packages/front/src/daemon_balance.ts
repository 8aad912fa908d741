/**
 * Tells the balance between failure domains what this daemon knows of the work
 * of all daemons, from their gossip.
 *
 * @module
 */

import {
  type BalanceState,
  DomainBalance,
  type DomainSums,
  PREFILL_TOKENS_PER_MS,
  type SenderWork,
} from "@endivebend/request-path";
import type { FailureDomainId, ServiceName } from "@endivebend/types";
import type { DaemonParts } from "./daemon_parts.ts";

/** A domain is not heard once so many of its messages are missing. */
const SILENT_ROUNDS = 2.5;
const MIN_SILENT_MS = 600;

/** The components that the balance reads. */
export interface BalanceParts
  extends Pick<DaemonParts, "registry" | "logDecision"> {
  readonly settings: Pick<DaemonParts["settings"], "failureDomain">;
  readonly ports: {
    readonly metrics: Pick<DaemonParts["ports"]["metrics"], "count">;
  };
  readonly gossip: Pick<DaemonParts["gossip"], "ownWork">;
  /** Without it all servers have the usual pace. */
  readonly paces?: Pick<DaemonParts["paces"], "of">;
  readonly fleet: Pick<
    DaemonParts["fleet"],
    "reachable" | "overdueDomains" | "gossipRoundMs"
  >;
}

/**
 * Balances the requests of this daemon between the failure domains.
 *
 * @example
 * ```ts
 * const costMs = createDomainBalance(parts).costMs(server, nowMs);
 * ```
 */
export function createDomainBalance(parts: BalanceParts): DomainBalance {
  return new DomainBalance({
    failureDomain: parts.settings.failureDomain,
    registry: parts.registry,
    senders: (nowMs) => sendersOf(parts, nowMs),
    silentDomains: (nowMs) => silentDomains(parts, nowMs),
    gossipRoundMs: () => parts.fleet.gossipRoundMs,
    tokensPerMs: (server, nowMs) =>
      parts.paces?.of(server, nowMs).tokensPerMs ?? PREFILL_TOKENS_PER_MS,
    changed: (service, state, sums) => log(parts, { service, state, sums }),
  });
}

function sendersOf(parts: BalanceParts, nowMs: number): SenderWork[] {
  const { failureDomain } = parts.settings;
  const senders: SenderWork[] = [
    { failureDomain, work: parts.gossip.ownWork() },
  ];
  for (const { message } of parts.fleet.reachable(nowMs)) {
    if (message !== undefined) senders.push(message);
  }
  return senders;
}

function silentDomains(
  parts: BalanceParts,
  nowMs: number,
): ReadonlySet<FailureDomainId> {
  const limitMs = Math.max(
    MIN_SILENT_MS,
    SILENT_ROUNDS * parts.fleet.gossipRoundMs,
  );
  const overdue = parts.fleet.overdueDomains(nowMs, limitMs);
  return new Set(overdue.map(({ failureDomain }) => failureDomain));
}

function log(
  parts: BalanceParts,
  { service, state, sums }: {
    readonly service: ServiceName;
    readonly state: BalanceState;
    readonly sums: readonly DomainSums[];
  },
): void {
  const { isOn, surplusLevel, room } = state;
  parts.ports.metrics.count("domain_balances", { state: isOn ? "on" : "off" });
  parts.logDecision("domain_balance", {
    service,
    isOn,
    surplusLevel,
    room: Object.fromEntries(room),
    domains: Object.fromEntries(sums.map((
      { domain, demand, slots, isCutOff },
    ) => [domain, {
      running: Math.round(demand.running),
      prefillTokens: Math.round(demand.prefillTokens),
      slots,
      isCutOff,
    }])),
  });
}
