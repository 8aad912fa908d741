/**
 * What new connections show of the links to backend servers. A server that
 * accepts no connection or answers nothing on one may be down; when several
 * servers of a service do so and no other one answers, this VM has lost its
 * links to them.
 *
 * An accepted connection shows nothing: links, and queues of the system before
 * a process, accept connections that carry no byte. Neither does data on old
 * connections: they may live on while new ones fail.
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

/** How a new connection to a server has failed. */
export type LinkFailure =
  /** Nothing listens there, or a link refuses for it. */
  | "refused"
  /** The connection was not accepted in time. */
  | "no_connection"
  /** The connection was accepted and lost without a byte of an answer. */
  | "reset"
  /** The connection was accepted and nothing has come on it. */
  | "silent";

/** Servers that have failed lately, by how they did. */
export type LinkFailureCounts = Readonly<Partial<Record<LinkFailure, number>>>;

/** Dependencies of {@link ServerReach}. */
export interface ServerReachOptions {
  nowMs(): number;
  /** Servers of the service that may get requests. */
  usable(service: ServiceName): readonly ReachableServer[];
  /** Called when this VM has lost its links to all servers of a service. */
  cutOff(service: ServiceName): void;
  /** Called when a server of the service answers again. */
  restored(service: ServiceName): void;
}

/** Servers that must fail, as one may be down by itself. */
const MIN_LOST_SERVERS = 2;
/** What a connection has shown holds for this long. */
const EVIDENCE_TTL_MS = 2_500;
/** Servers that are remembered; a fleet has some 1,000. */
const MAX_SERVERS = 4_000;

interface Evidence {
  /** When the current run of failed connections began. */
  lostSinceMs: number;
  lostAtMs: number;
  failure: LinkFailure | undefined;
  /** When the newest connection on which the server has answered was opened. */
  answeredAtMs: number;
}

/** Which servers this VM reaches. */
export class ServerReach {
  readonly #options: ServerReachOptions;
  readonly #evidence = new Map<BackendServerId, Evidence>();
  readonly #cutOffSinceMs = new Map<ServiceName, number>();

  constructor(options: ServerReachOptions) {
    this.#options = options;
  }

  /**
   * Records that a byte of an answer has come from the server on a connection
   * that was opened at the time.
   */
  recordAnswer(
    { id, service }: ReachableServer,
    openedAtMs = this.#options.nowMs(),
  ): void {
    const evidence = this.#of(id);
    evidence.answeredAtMs = Math.max(evidence.answeredAtMs, openedAtMs);
    this.#update(service);
  }

  /** Records that a connection that was opened at the time has failed. */
  recordLoss(
    { id, service }: ReachableServer,
    failure: LinkFailure,
    openedAtMs = this.#options.nowMs(),
  ): void {
    const evidence = this.#of(id);
    if (!this.#isLost(id)) evidence.lostSinceMs = openedAtMs;
    evidence.lostAtMs = Math.max(evidence.lostAtMs, openedAtMs);
    evidence.failure = failure;
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

  /** Whether new connections to at least half of the servers fail. */
  isMostlyLost(service: ServiceName): boolean {
    const usable = this.#options.usable(service);
    const lost = usable.filter(({ id }) => this.#isLost(id));
    return lost.length >= MIN_LOST_SERVERS && 2 * lost.length >= usable.length;
  }

  /** When the newest connection was opened on which the service has answered. */
  answeredAtMs(service: ServiceName): number {
    return Math.max(
      Number.NEGATIVE_INFINITY,
      ...this.#options.usable(service).map(({ id }) => this.#answeredAtMs(id)),
    );
  }

  /** Servers to check next: those that were checked least recently first. */
  leastRecentlyChecked(
    service: ServiceName,
    count: number,
  ): ReachableServer[] {
    const checkedAtMs = ({ id }: ReachableServer) => {
      const evidence = this.#evidence.get(id);
      return Math.max(evidence?.lostAtMs ?? 0, evidence?.answeredAtMs ?? 0);
    };
    return this.#options.usable(service)
      .toSorted((a, b) => checkedAtMs(a) - checkedAtMs(b))
      .slice(0, count);
  }

  /** The same servers, those that last answered on a new connection first. */
  byLastAnswer(servers: readonly ReachableServer[]): ReachableServer[] {
    return servers.toSorted((a, b) => {
      const [atMs, otherAtMs] = [
        this.#answeredAtMs(a.id),
        this.#answeredAtMs(b.id),
      ];
      // Both may be minus infinity, whose difference is no number.
      return atMs === otherAtMs ? 0 : otherAtMs - atMs;
    });
  }

  /** Servers of the service to which new connections fail. */
  lost(service: ServiceName): ReachableServer[] {
    return this.#options.usable(service).filter(({ id }) => this.#isLost(id));
  }

  /** How the servers of the service have failed lately. */
  failures(service: ServiceName): LinkFailureCounts {
    const counts: Partial<Record<LinkFailure, number>> = {};
    for (const { id } of this.lost(service)) {
      const failure = this.#evidence.get(id)?.failure;
      if (failure === undefined) continue;
      counts[failure] = (counts[failure] ?? 0) + 1;
    }
    return counts;
  }

  isLost({ id }: ReachableServer): boolean {
    return this.#isLost(id);
  }

  #isLost(id: BackendServerId): boolean {
    const evidence = this.#evidence.get(id);
    if (evidence === undefined) return false;
    const { lostAtMs, answeredAtMs } = evidence;
    return lostAtMs > answeredAtMs &&
      this.#options.nowMs() - lostAtMs < EVIDENCE_TTL_MS;
  }

  #answeredAtMs(id: BackendServerId): number {
    return this.#evidence.get(id)?.answeredAtMs ?? Number.NEGATIVE_INFINITY;
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

  /**
   * Whether several servers have failed since one last answered. Those that
   * failed before show nothing, as they may be down by themselves.
   */
  #isCutOff(service: ServiceName): boolean {
    const usable = this.#options.usable(service);
    const answeredAtMs = this.answeredAtMs(service);
    const wasReached = ({ id }: ReachableServer) =>
      !this.#isLost(id) || this.#evidence.get(id)!.lostSinceMs > answeredAtMs;
    const reached = usable.filter(wasReached);
    const lost = reached.filter(({ id }) => this.#isLost(id));
    return lost.length > 0 &&
      lost.length >= Math.min(MIN_LOST_SERVERS, reached.length);
  }

  #of(id: BackendServerId): Evidence {
    const known = this.#evidence.get(id);
    if (known !== undefined) return known;
    const evidence = {
      lostSinceMs: Number.NEGATIVE_INFINITY,
      lostAtMs: Number.NEGATIVE_INFINITY,
      failure: undefined,
      answeredAtMs: Number.NEGATIVE_INFINITY,
    };
    this.#evidence.set(id, evidence);
    if (this.#evidence.size > MAX_SERVERS) {
      const [oldest] = this.#evidence.keys();
      this.#evidence.delete(oldest!);
    }
    return evidence;
  }
}
