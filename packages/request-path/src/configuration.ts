/**
 * Looks up the route, service and destination of a request in a configuration.
 *
 * @module
 */

import type { ServiceName } from "@endivebend/types";
import { findSlotRules, type SlotRules } from "./slot_rules.ts";
import type { Configuration, Route, ServiceRules } from "./types.ts";

/** A configuration with indexes for lookups. */
export class ConfigurationView {
  readonly configuration: Configuration;
  /** The longest timeout of each service's streams that may be taken up. */
  readonly resumableTimeoutsMs: ReadonlyMap<ServiceName, number>;
  readonly slotRules: SlotRules;
  readonly #routesByHost = new Map<string, Route[]>();
  readonly #services = new Map<ServiceName, ServiceRules>();

  constructor(configuration: Configuration) {
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const routes = this.#routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.#routesByHost.set(route.host, routes);
    }
    for (const routes of this.#routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const service of configuration.services) {
      this.#services.set(service.name, service);
    }
    this.slotRules = findSlotRules(configuration);
    this.resumableTimeoutsMs = findResumableTimeouts(configuration.routes);
  }

  /**
   * The route of the host with the longest prefix of the path.
   *
   * @example
   * ```ts
   * view.findRoute("bells.example", "/peals/draft?full=1");
   * ```
   */
  findRoute(host: string, path: string): Route | undefined {
    const routes = this.#routesByHost.get(host.toLowerCase()) ?? [];
    return routes.find((route) => path.startsWith(route.pathPrefix));
  }

  service(name: ServiceName): ServiceRules | undefined {
    return this.#services.get(name);
  }
}

function findResumableTimeouts(
  routes: readonly Route[],
): Map<ServiceName, number> {
  const timeoutsMs = new Map<ServiceName, number>();
  for (const { kind, timeoutMs, destinations } of routes) {
    if (kind !== "resumable_stream") continue;
    for (const { service } of destinations) {
      const longestMs = Math.max(timeoutMs, timeoutsMs.get(service) ?? 0);
      timeoutsMs.set(service, longestMs);
    }
  }
  return timeoutsMs;
}

/**
 * The destination service for a request of the route. `fraction`, from 0 to
 * below 1, spreads requests by the destinations' weights.
 *
 * @example
 * ```ts
 * pickDestination(route, Math.random());
 * ```
 */
export function pickDestination(
  route: Route,
  fraction: number,
): ServiceName | undefined {
  const total = route.destinations.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = fraction * total;
  for (const { service, weight } of route.destinations) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.destinations.at(-1)?.service;
}
