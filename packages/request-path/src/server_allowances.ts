/**
 * The requests that this daemon may send to servers that name a limit.
 *
 * @module
 */

import type { BackendServerId, ServiceName, VmId } from "@endivebend/types";
import {
  type LimitedServer,
  planAllowances,
  type Sharer,
} from "./plan_allowances.ts";
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

interface Bucket {
  ratePerS: number;
  /** At most 1; below 0 after a request that could not wait. */
  tokens: number;
  asOfMs: number;
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
    if (server.limit === undefined) return 0;
    const bucket = this.#bucketOf(server, nowMs);
    if (bucket === undefined) return Number.POSITIVE_INFINITY;
    return Math.max(0, (1 - bucket.tokens) / bucket.ratePerS * 1_000);
  }

  /** Whether a stream that has begun may take up a request saved in part. */
  mayAdvance(server: KnownServer, nowMs: number): boolean {
    if (server.limit === undefined) return true;
    return (this.#bucketOf(server, nowMs)?.tokens ?? 0) > 0;
  }

  /** Charges a request that is sent to the server. */
  take(server: KnownServer, nowMs: number): void {
    if (server.limit === undefined) return;
    const bucket = this.#bucketOf(server, nowMs);
    if (bucket !== undefined) bucket.tokens -= 1;
  }

  /**
   * How scarce further requests to the service's servers with a limit are, from
   * 0, when one may be sent to each of them, to 1; 0 for a server without.
   */
  scarcity({ listed, limit }: KnownServer, nowMs: number): number {
    if (limit === undefined) return 0;
    // One placement asks for each of its candidates.
    const known = this.#scarcity.get(listed.service);
    if (known?.atMs === nowMs) return known.share;
    const buckets = [...this.#options.registry.all()]
      .filter((other) =>
        other.limit !== undefined && other.listed.service === listed.service
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
    if (nowMs >= this.#planUntilMs || !this.#planned.has(server.listed.id)) {
      this.#plan(nowMs);
    }
    const bucket = this.#buckets.get(server.listed.id);
    if (bucket === undefined) return undefined;
    const gained = (nowMs - bucket.asOfMs) / 1_000 * bucket.ratePerS;
    bucket.tokens = Math.min(1, bucket.tokens + gained);
    bucket.asOfMs = nowMs;
    return bucket;
  }

  /** Buckets of servers that this daemon takes over start empty. */
  #plan(nowMs: number): void {
    this.#planUntilMs = nowMs + PLAN_TTL_MS;
    const limitedByService = [...this.#limitedByService()];
    this.#planned = new Set(
      limitedByService.flatMap(([, limited]) => limited.map(({ id }) => id)),
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
      if (limit === undefined) continue;
      const limited = byService.get(listed.service) ?? [];
      byService.set(listed.service, limited);
      limited.push({ id: listed.id, limitPerS: limit.perS });
    }
    return byService;
  }
}
