/**
 * What new connections show of the links to backend servers. A server that
 * accepts no connection may be down; when several servers of a service accept
 * none and no other one does, this VM has lost its links to them.
 *
 * Data on old connections shows nothing: they may live on while new ones are
 * refused.
 *
 * @module
 */

import type {
  BackendServerId,
  FailureDomainId,
  ServiceName,
} from "@endivebend/types";

/** What a decision needs to know of a server. */
export interface ReachableServer {
  readonly id: BackendServerId;
  readonly service: ServiceName;
  readonly address: string;
  readonly failureDomain: FailureDomainId;
}

/** Dependencies of {@link ServerReach}. */
export interface ServerReachOptions {
  nowMs(): number;
  /** Servers of the service that may get requests. */
  usable(service: ServiceName): readonly ReachableServer[];
  /** Called when this VM has lost its links to all servers of a service. */
  cutOff(service: ServiceName): void;
  /** Called when a server of the service accepts connections again. */
  restored(service: ServiceName): void;
}

/** Servers that must accept no connection, as one may be down by itself. */
const MIN_LOST_SERVERS = 2;
/** What a connection has shown holds for this long. */
const EVIDENCE_TTL_MS = 2_500;
/** Servers that are remembered; a fleet has some 1,000. */
const MAX_SERVERS = 4_000;

interface Evidence {
  /** When the current run of failed connections began. */
  lostSinceMs: number;
  lostAtMs: number;
  connectedAtMs: number;
}

/** Which servers this VM reaches. */
export class ServerReach {
  readonly #options: ServerReachOptions;
  readonly #evidence = new Map<BackendServerId, Evidence>();
  readonly #cutOffSinceMs = new Map<ServiceName, number>();

  constructor(options: ServerReachOptions) {
    this.#options = options;
  }

  /** Records that the server has accepted a new connection. */
  recordConnected({ id, service }: ReachableServer): void {
    this.#of(id).connectedAtMs = this.#options.nowMs();
    this.#update(service);
  }

  /** Records that the server has not accepted a new connection. */
  recordNoConnection({ id, service }: ReachableServer): void {
    const evidence = this.#of(id);
    const nowMs = this.#options.nowMs();
    if (!this.#isLost(id)) evidence.lostSinceMs = nowMs;
    evidence.lostAtMs = nowMs;
    this.#update(service);
  }

  /**
   * Since when this VM reaches no server of the service itself; undefined when
   * it reaches one.
   */
  cutOffSinceMs(service: ServiceName): number | undefined {
    this.#update(service);
    return this.#cutOffSinceMs.get(service);
  }

  /** Services that this VM is cut off from. */
  cutOffServices(): ServiceName[] {
    return [...this.#cutOffSinceMs.keys()];
  }

  /** Whether requests to the server should go through another VM. */
  needsForwarder({ id, service }: ReachableServer): boolean {
    if (this.cutOffSinceMs(service) !== undefined) return true;
    return this.#isLost(id) && this.isMostlyLost(service);
  }

  /** Whether at least half of the service's servers accept no connection. */
  isMostlyLost(service: ServiceName): boolean {
    const usable = this.#options.usable(service);
    const lost = usable.filter(({ id }) => this.#isLost(id));
    return lost.length >= MIN_LOST_SERVERS && 2 * lost.length >= usable.length;
  }

  /** Servers to check next: those that were checked least recently first. */
  leastRecentlyChecked(
    service: ServiceName,
    count: number,
  ): ReachableServer[] {
    const checkedAtMs = ({ id }: ReachableServer) => {
      const evidence = this.#evidence.get(id);
      return Math.max(evidence?.lostAtMs ?? 0, evidence?.connectedAtMs ?? 0);
    };
    return this.#options.usable(service)
      .toSorted((a, b) => checkedAtMs(a) - checkedAtMs(b))
      .slice(0, count);
  }

  /** The same servers, those that last accepted a connection first. */
  byLastConnection(servers: readonly ReachableServer[]): ReachableServer[] {
    const connectedAtMs = ({ id }: ReachableServer) =>
      this.#evidence.get(id)?.connectedAtMs ?? Number.NEGATIVE_INFINITY;
    return servers.toSorted((a, b) =>
      // Both may be minus infinity, whose difference is no number.
      connectedAtMs(a) === connectedAtMs(b)
        ? 0
        : connectedAtMs(b) - connectedAtMs(a)
    );
  }

  /** Servers of the service that accept no connection. */
  lost(service: ServiceName): ReachableServer[] {
    return this.#options.usable(service).filter(({ id }) => this.#isLost(id));
  }

  #isLost(id: BackendServerId): boolean {
    const evidence = this.#evidence.get(id);
    if (evidence === undefined) return false;
    const { lostAtMs, connectedAtMs } = evidence;
    return lostAtMs > connectedAtMs &&
      this.#options.nowMs() - lostAtMs < EVIDENCE_TTL_MS;
  }

  #update(service: ServiceName): void {
    const isCutOff = this.#isCutOff(service);
    const wasCutOff = this.#cutOffSinceMs.has(service);
    if (isCutOff === wasCutOff) return;
    if (isCutOff) {
      this.#cutOffSinceMs.set(service, this.#options.nowMs());
      this.#options.cutOff(service);
    } else {
      this.#cutOffSinceMs.delete(service);
      this.#options.restored(service);
    }
  }

  #isCutOff(service: ServiceName): boolean {
    const usable = this.#options.usable(service);
    const lost = usable.filter(({ id }) => this.#isLost(id));
    const minLost = Math.min(MIN_LOST_SERVERS, usable.length);
    if (lost.length === 0 || lost.length < minLost) return false;
    const sinceMs = Math.min(
      ...lost.map(({ id }) => this.#evidence.get(id)!.lostSinceMs),
    );
    return usable.every(({ id }) =>
      (this.#evidence.get(id)?.connectedAtMs ?? Number.NEGATIVE_INFINITY) <
        sinceMs
    );
  }

  #of(id: BackendServerId): Evidence {
    const known = this.#evidence.get(id);
    if (known !== undefined) return known;
    const evidence = {
      lostSinceMs: Number.NEGATIVE_INFINITY,
      lostAtMs: Number.NEGATIVE_INFINITY,
      connectedAtMs: Number.NEGATIVE_INFINITY,
    };
    this.#evidence.set(id, evidence);
    if (this.#evidence.size > MAX_SERVERS) {
      const [oldest] = this.#evidence.keys();
      this.#evidence.delete(oldest!);
    }
    return evidence;
  }
}
