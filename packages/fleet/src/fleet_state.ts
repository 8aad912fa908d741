/**
 * What this daemon knows of the others from their messages. Pure: time comes in
 * as `nowMs` on the steady clock.
 *
 * @module
 */

import type { BackendServerId, TeamId, VmId } from "@endivebend/types";
import type { FleetMessage } from "./message.ts";

/** A daemon that has said nothing for this long is out of reach. */
const REACH_MS = 1_200;
/** Work told longer ago than this has likely ended. */
const WORK_LIFE_MS = 1_000;
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
  readonly #members = new Map<VmId, FleetMember>();

  constructor(self: VmId) {
    this.#self = self;
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
    return this.members().filter(({ message, heardAtMs }) =>
      message !== undefined && nowMs - heardAtMs < REACH_MS
    );
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
    for (const { message, heardAtMs } of this.#members.values()) {
      if (nowMs - heardAtMs > WORK_LIFE_MS) continue;
      const work = message?.work[server];
      running += work?.[0] ?? 0;
      prefillTokens += work?.[1] ?? 0;
    }
    return { running, prefillTokens };
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
