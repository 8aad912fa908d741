/**
 * What this daemon knows of the others from their messages. Pure: time comes in
 * as `nowMs` on the steady clock.
 *
 * @module
 */

import type {
  BackendServerId,
  FailureDomainId,
  TeamId,
  VmId,
} from "@endivebend/types";
import { type FleetAddresses, roundMs } from "./fleet_channel.ts";
import type { FleetMessage } from "./message.ts";

/** A daemon that has said nothing for this long is out of reach. */
const MIN_REACH_MS = 1_200;
/** In a large fleet, one that has not been heard for this many rounds. */
const REACH_ROUNDS = 2.5;
/** Work told longer ago than this has likely ended. */
const MIN_WORK_LIFE_MS = 1_000;
/** In a large fleet, work lasts until it is told again. */
const WORK_ROUNDS = 1.5;
/**
 * A daemon out of reach keeps its share of the limits for this long; partitions
 * of the users' sites last up to 12 s.
 */
const MEMBER_LIFE_MS = 30_000;

/** Another daemon. */
export interface FleetMember {
  readonly vm: VmId;
  readonly address: string;
  /** Undefined until the daemon has been heard. */
  message: FleetMessage | undefined;
  /** When the daemon was last heard or listed. */
  heardAtMs: number;
}

/** A team's spending that a message adds to what was known. */
export interface SpentElsewhere {
  readonly team: TeamId;
  readonly units: number;
}

/** What a message changed. */
export interface Heard {
  readonly spent: readonly SpentElsewhere[];
}

/** The other daemons. */
export class FleetState {
  readonly #self: VmId;
  readonly #failureDomain: FailureDomainId;
  readonly #members = new Map<VmId, FleetMember>();

  constructor(self: VmId, failureDomain: FailureDomainId) {
    this.#self = self;
    this.#failureDomain = failureDomain;
  }

  /** Takes a daemon from the platform's list. */
  list(vm: VmId, address: string, nowMs: number): void {
    if (vm === this.#self) return;
    const known = this.#members.get(vm);
    if (known !== undefined) return;
    this.#members.set(vm, {
      vm,
      address,
      message: undefined,
      heardAtMs: nowMs,
    });
  }

  /** Takes a message; undefined when it is old news. */
  hear(message: FleetMessage, nowMs: number): Heard | undefined {
    if (message.vm === this.#self) return undefined;
    const known = this.#members.get(message.vm);
    const before = known?.message;
    const isSameRun = before?.incarnation === message.incarnation;
    if (isSameRun && before.sequence >= message.sequence) return undefined;
    if (message.isLeaving) {
      this.#members.delete(message.vm);
    } else {
      this.#members.set(message.vm, {
        vm: message.vm,
        address: message.address,
        message,
        heardAtMs: nowMs,
      });
    }
    return { spent: isSameRun ? spentSince(before, message) : [] };
  }

  /** Every daemon that may be alive, whether or not in reach. */
  members(): readonly FleetMember[] {
    return [...this.#members.values()];
  }

  /** Daemons heard lately. */
  reachable(nowMs: number): FleetMember[] {
    const round = this.#round();
    return this.members().filter((member) => {
      const reachMs = Math.max(
        MIN_REACH_MS,
        REACH_ROUNDS * (this.#isNear(member) ? round.near : round.far),
      );
      return member.message !== undefined &&
        nowMs - member.heardAtMs < reachMs;
    });
  }

  /** Milliseconds in which every daemon has told every other one. */
  get roundMs(): number {
    const { near, far } = this.#round();
    return Math.max(near, far);
  }

  /** Addresses of all daemons that may be alive. */
  addresses(): FleetAddresses {
    const near: string[] = [];
    const far: string[] = [];
    for (const member of this.#members.values()) {
      (this.#isNear(member) ? near : far).push(member.address);
    }
    return { near, far };
  }

  /** Share of the fleet that is in reach, this daemon included. */
  reachableShare(nowMs: number): number {
    this.#forgetEnded(nowMs);
    return (this.reachable(nowMs).length + 1) / (this.#members.size + 1);
  }

  /** Daemons of the fleet, this one included. */
  get size(): number {
    return this.#members.size + 1;
  }

  /** What all other daemons have at a server. */
  workAt(
    server: BackendServerId,
    nowMs: number,
  ): { readonly running: number; readonly prefillTokens: number } {
    let running = 0;
    let prefillTokens = 0;
    const lifeMs = Math.max(MIN_WORK_LIFE_MS, WORK_ROUNDS * this.roundMs);
    for (const { message, heardAtMs } of this.#members.values()) {
      if (nowMs - heardAtMs > lifeMs) continue;
      const work = message?.work[server];
      running += work?.[0] ?? 0;
      prefillTokens += work?.[1] ?? 0;
    }
    return { running, prefillTokens };
  }

  /** Daemons that have only been listed may be of any failure domain. */
  #isNear({ message }: FleetMember): boolean {
    return message?.failureDomain === this.#failureDomain;
  }

  #round() {
    let near = 0;
    for (const member of this.#members.values()) {
      if (this.#isNear(member)) near += 1;
    }
    return roundMs({ near, far: this.#members.size - near });
  }

  #forgetEnded(nowMs: number): void {
    for (const [vm, { heardAtMs }] of this.#members) {
      if (nowMs - heardAtMs > MEMBER_LIFE_MS) this.#members.delete(vm);
    }
  }
}

function spentSince(
  before: FleetMessage,
  message: FleetMessage,
): SpentElsewhere[] {
  const teams = Object.keys(message.spent) as TeamId[];
  return teams
    .map((team) => ({
      team,
      units: (message.spent[team] ?? 0) - (before.spent[team] ?? 0),
    }))
    .filter(({ units }) => units !== 0);
}
