/**
 * Finds the services whose slots are divided by urgency: those of which another
 * stream route is at least two levels less urgent than the most urgent one and
 * has a longer target. Requests that wait for a slot then cost the urgent route
 * more. One level orders requests in an engine's queue, as before.
 *
 * @module
 */

import type { ServiceName } from "@endivebend/types";
import { type Configuration, isStream, type Route } from "./types.ts";

/** Whether a route is the most urgent one of its service. */
export type SlotRank = "first" | "other";

/** Levels between routes of which one gives way to the other. */
const MIN_URGENCY_GAP = 2;

/** The services whose slots are divided, with the urgency of the first rank. */
export type SlotRules = ReadonlyMap<ServiceName, number>;

/**
 * Finds the rules of a configuration.
 *
 * @example
 * ```ts
 * const rules = findSlotRules(configuration);
 * ```
 */
export function findSlotRules({ routes }: Configuration): SlotRules {
  const byService = new Map<ServiceName, Route[]>();
  for (const route of routes) {
    if (!isStream(route.kind)) continue;
    for (const { service } of route.destinations) {
      const known = byService.get(service) ?? [];
      byService.set(service, [...known, route]);
    }
  }
  const rules = new Map<ServiceName, number>();
  for (const [service, ofService] of byService) {
    const first = Math.min(...ofService.map(({ urgency }) => urgency));
    const firstTargetMs = Math.max(
      ...ofService.filter(({ urgency }) => urgency === first)
        .map(({ targetMs }) => targetMs),
    );
    const isDivided = ofService.some(({ urgency, targetMs }) =>
      urgency >= first + MIN_URGENCY_GAP && targetMs > firstTargetMs
    );
    if (isDivided) rules.set(service, first);
  }
  return rules;
}

/**
 * The rank of a route at a service; undefined where slots are not divided.
 *
 * @example
 * ```ts
 * const rank = rankOf(rules, { service, urgency: route.urgency });
 * ```
 */
export function rankOf(
  rules: SlotRules,
  route: { readonly service: ServiceName; readonly urgency: number },
): SlotRank | undefined {
  const first = rules.get(route.service);
  if (first === undefined) return undefined;
  return route.urgency <= first ? "first" : "other";
}
