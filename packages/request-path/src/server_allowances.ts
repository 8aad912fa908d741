/**
 * The requests that this daemon may send to servers that name a limit, and
 * those that it may have at brittle servers.
 *
 * @module
 */

import type { BackendServerId, ServiceName, VmId } from "@endivebend/types";
import {
  type LimitedServer,
  planAllowances,
  type Sharer,
} from "./plan_allowances.ts";
import { type BrittleServer, planPlaces } from "./plan_places.ts";
import type { KnownServer, ServerRegistry } from "./server_registry.ts";

/** Dependencies of the allowances. */
export interface ServerAllowancesOptions {
  readonly registry: Pick<ServerRegistry, "all">;
  readonly self: VmId;
  /**
   * All daemons that may be alive, reachable or not, with their demand for the
   * service; this one among them.
   */
  daemons(service: ServiceName): readonly Sharer[];
}

/** Members and limits change rarely, and attempts are frequent. */
const PLAN_TTL_MS = 200;

/** A place of a brittle server is free again after some 200 ms. */
const PLACE_WAIT_MS = 200;

interface Bucket {
  ratePerS: number;
  /** At most 1; below 0 after a request that could not wait. */
  tokens: number;
  asOfMs: number;
}

/** Whether the server says so, or has said nothing yet. */
function isMaybeBrittle({ limit, lastReceivedMs }: KnownServer): boolean {
  return limit?.bearsPerS !== undefined || lastReceivedMs === 0;
}

/** A token bucket of one request for each server with a limit. */
export class ServerAllowances {
  readonly #options: ServerAllowancesOptions;
  readonly #buckets = new Map<BackendServerId, Bucket>();
  /** The newest answer of {@link scarcity} for each service. */
  readonly #scarcity = new Map<
    ServiceName,
    { readonly share: number; readonly atMs: number }
  >();
  /** Requests that this daemon may have at each brittle server. */
  #places: ReadonlyMap<BackendServerId, number> = new Map();
  #brittleServices: ReadonlySet<ServiceName> = new Set();
  /** Servers that the plan covers, those left to other daemons included. */
  #planned: ReadonlySet<BackendServerId> = new Set();
  #planUntilMs = Number.NEGATIVE_INFINITY;

  constructor(options: ServerAllowancesOptions) {
    this.#options = options;
  }

  /**
   * Milliseconds until this daemon may send a request to the server; 0 when it
   * may now, infinite when it leaves the server to others.
   *
   * @example
   * ```ts
   * const isFree = allowances.waitMs(server, nowMs) === 0;
   * ```
   */
  waitMs(server: KnownServer, nowMs: number): number {
    const placeWaitMs = this.#hasPlace(server, nowMs) ? 0 : PLACE_WAIT_MS;
    if (server.limit?.perS === undefined) return placeWaitMs;
    const bucket = this.#bucketOf(server, nowMs);
    if (bucket === undefined) return Number.POSITIVE_INFINITY;
    return Math.max(
      placeWaitMs,
      (1 - bucket.tokens) / bucket.ratePerS * 1_000,
    );
  }

  /** Whether the server is not brittle, or has a free place for this daemon. */
  #hasPlace(server: KnownServer, nowMs: number): boolean {
    if (!isMaybeBrittle(server)) return true;
    if (server.limit !== undefined) this.#renewPlan(server, nowMs);
    else if (nowMs >= this.#planUntilMs) this.#plan(nowMs);
    if (!this.#brittleServices.has(server.listed.service)) return true;
    const places = this.#places.get(server.listed.id) ?? 0;
    return server.ownWork.size < places;
  }

  /** Whether a stream that has begun may take up a request saved in part. */
  mayAdvance(server: KnownServer, nowMs: number): boolean {
    if (!this.#hasPlace(server, nowMs)) return false;
    if (server.limit?.perS === undefined) return true;
    return (this.#bucketOf(server, nowMs)?.tokens ?? 0) > 0;
  }

  /** Charges a request that is sent to the server. */
  take(server: KnownServer, nowMs: number): void {
    if (server.limit?.perS === undefined) return;
    const bucket = this.#bucketOf(server, nowMs);
    if (bucket !== undefined) bucket.tokens -= 1;
  }

  /**
   * How scarce further requests to the service's servers with a limit are, from
   * 0, when one may be sent to each of them, to 1; 0 for a server without.
   */
  scarcity({ listed, limit }: KnownServer, nowMs: number): number {
    if (limit?.perS === undefined) return 0;
    // One placement asks for each of its candidates.
    const known = this.#scarcity.get(listed.service);
    if (known?.atMs === nowMs) return known.share;
    const buckets = [...this.#options.registry.all()]
      .filter((other) =>
        other.limit?.perS !== undefined &&
        other.listed.service === listed.service
      )
      .map((other) => this.#bucketOf(other, nowMs))
      .filter((bucket) => bucket !== undefined);
    const tokens = buckets.reduce(
      (sum, bucket) => sum + Math.max(0, bucket.tokens),
      0,
    );
    const share = buckets.length === 0 ? 1 : 1 - tokens / buckets.length;
    this.#scarcity.set(listed.service, { share, atMs: nowMs });
    return share;
  }

  #bucketOf(server: KnownServer, nowMs: number): Bucket | undefined {
    this.#renewPlan(server, nowMs);
    const bucket = this.#buckets.get(server.listed.id);
    if (bucket === undefined) return undefined;
    const gained = (nowMs - bucket.asOfMs) / 1_000 * bucket.ratePerS;
    bucket.tokens = Math.min(1, bucket.tokens + gained);
    bucket.asOfMs = nowMs;
    return bucket;
  }

  #renewPlan({ listed }: KnownServer, nowMs: number): void {
    const isCovered = this.#planned.has(listed.id);
    if (nowMs >= this.#planUntilMs || !isCovered) this.#plan(nowMs);
  }

  /** Buckets of servers that this daemon takes over start empty. */
  #plan(nowMs: number): void {
    this.#planUntilMs = nowMs + PLAN_TTL_MS;
    const limitedByService = [...this.#limitedByService()];
    const brittleByService = [...this.#brittleByService()];
    this.#planned = new Set(
      [...limitedByService, ...brittleByService].flatMap(([, servers]) =>
        servers.map(({ id }) => id)
      ),
    );
    this.#places = new Map(
      brittleByService.flatMap(([service, brittle]) => [
        ...planPlaces(brittle, {
          self: this.#options.self,
          all: this.#options.daemons(service),
        }),
      ]),
    );
    const rates = new Map(
      limitedByService.flatMap(([service, limited]) => [
        ...planAllowances(limited, {
          self: this.#options.self,
          all: this.#options.daemons(service),
        }),
      ]),
    );
    for (const id of this.#buckets.keys()) {
      if (!rates.has(id)) this.#buckets.delete(id);
    }
    for (const [id, ratePerS] of rates) {
      const bucket = this.#buckets.get(id);
      if (bucket !== undefined) bucket.ratePerS = ratePerS;
      else this.#buckets.set(id, { ratePerS, tokens: 0, asOfMs: nowMs });
    }
  }

  #limitedByService(): ReadonlyMap<ServiceName, LimitedServer[]> {
    const byService = new Map<ServiceName, LimitedServer[]>();
    for (const { listed, limit } of this.#options.registry.all()) {
      if (limit?.perS === undefined) continue;
      const limited = byService.get(listed.service) ?? [];
      byService.set(listed.service, limited);
      limited.push({ id: listed.id, limitPerS: limit.perS });
    }
    return byService;
  }

  /**
   * The servers of services that are brittle. Those that have not answered yet
   * are among them, as all daemons would send to a server that starts; and those
   * that have fallen, so that the parts of the others stay.
   */
  #brittleByService(): ReadonlyMap<ServiceName, BrittleServer[]> {
    const servers = [...this.#options.registry.all()]
      .filter(({ removedAtMs }) => removedAtMs === undefined);
    this.#brittleServices = new Set(
      servers
        .filter(({ limit }) => limit?.bearsPerS !== undefined)
        .map(({ listed }) => listed.service),
    );
    const byService = new Map<ServiceName, BrittleServer[]>();
    for (const server of servers) {
      const { id, service, slots } = server.listed;
      const isBrittle = this.#brittleServices.has(service) &&
        isMaybeBrittle(server);
      if (!isBrittle) continue;
      const brittle = byService.get(service) ?? [];
      byService.set(service, brittle);
      brittle.push({ id, slots });
    }
    return byService;
  }
}
