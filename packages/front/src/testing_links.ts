/**
 * Connections between simulated VMs and engines, and cuts between them.
 *
 * @module
 */

import type { Scheduler } from "@endivebend/clock";
import type { LinkState } from "@endivebend/request-path";
import type { VmId } from "@endivebend/types";

/** What a new connection meets while its link is cut. */
type NewConnection =
  | "unanswered"
  | "refused"
  | "reset"
  /** Accepted, and reset before anything is sent on it. */
  | "accepted_reset"
  /** Accepted, and reset once bytes come. */
  | "accepted_reset_late"
  /** Accepted, and nothing comes back. */
  | "accepted_silent";

/** What a cut does to new connections and to those that are open. */
interface CutEffect {
  readonly fresh: NewConnection;
  readonly open: "silent" | "reset" | "alive";
}

const CUT_EFFECTS = {
  silent: { fresh: "unanswered", open: "silent" },
  reset: { fresh: "reset", open: "reset" },
  old_alive: { fresh: "refused", open: "alive" },
  accepted_reset: { fresh: "accepted_reset", open: "reset" },
  accepted_reset_old_silent: { fresh: "accepted_reset", open: "silent" },
  accepted_reset_old_alive: { fresh: "accepted_reset", open: "alive" },
  late_reset: { fresh: "accepted_reset_late", open: "reset" },
  late_reset_old_silent: { fresh: "accepted_reset_late", open: "silent" },
  late_reset_old_alive: { fresh: "accepted_reset_late", open: "alive" },
  accepted_silent: { fresh: "accepted_silent", open: "silent" },
  accepted_silent_old_reset: { fresh: "accepted_silent", open: "reset" },
  accepted_silent_old_alive: { fresh: "accepted_silent", open: "alive" },
} as const satisfies Readonly<Record<string, CutEffect>>;

/** The form of a cut. */
export type CutForm = keyof typeof CUT_EFFECTS;

/** How long an idle connection is kept. */
const IDLE_MS = 3_400;
/** Time after which a connection attempt without an answer is given up. */
const CONNECT_TIMEOUT_MS = 300;
/** Time after which a question without an answer is given up. */
const ANSWER_TIMEOUT_MS = 400;
const LINK_MS = 1;

/** What a VM gets that wants to send on a connection. */
export type ConnectResult =
  | { readonly kind: "connected"; readonly isNew: boolean }
  /** The connection takes bytes that never arrive. */
  | { readonly kind: "dead"; readonly isNew: boolean }
  /** The connection is accepted, and reset after this time. */
  | {
    readonly kind: "broken";
    readonly afterMs: number;
    readonly reason: string;
  }
  | {
    readonly kind: "failed";
    readonly afterMs: number;
    readonly reason: string;
  };

const NEW_CONNECTIONS: Readonly<Record<NewConnection, ConnectResult>> = {
  unanswered: {
    kind: "failed",
    afterMs: CONNECT_TIMEOUT_MS,
    reason: "The server did not accept the connection in time",
  },
  refused: {
    kind: "failed",
    afterMs: 2 * LINK_MS,
    reason: "connect ECONNREFUSED",
  },
  reset: { kind: "failed", afterMs: 2 * LINK_MS, reason: "connect ECONNRESET" },
  accepted_reset: {
    kind: "broken",
    afterMs: 2 * LINK_MS,
    reason: "read ECONNRESET",
  },
  accepted_reset_late: {
    kind: "broken",
    afterMs: 4 * LINK_MS,
    reason: "read ECONNRESET",
  },
  accepted_silent: { kind: "dead", isNew: true },
};

const LINK_STATES: Readonly<Record<NewConnection, LinkState>> = {
  unanswered: "no_connection",
  refused: "refused",
  reset: "no_connection",
  accepted_reset: "reset",
  accepted_reset_late: "reset",
  accepted_silent: "silent",
};

/** Whether the cut resets the connections that are open when it begins. */
export function resetsOpen(form: CutForm): boolean {
  return CUT_EFFECTS[form].open === "reset";
}

/** How long a call to a server over the cut link lasts without an answer. */
export function unansweredForMs(form: CutForm, timeoutMs: number): number {
  const { fresh } = CUT_EFFECTS[form];
  const isSilent = fresh === "unanswered" || fresh === "accepted_silent";
  const connected = NEW_CONNECTIONS[fresh];
  return !isSilent && "afterMs" in connected ? connected.afterMs : timeoutMs;
}

type Time = Scheduler & { readonly nowMs: number };

/** The links of all VMs to all engines. */
export class ServerLinks {
  readonly #time: Time;
  readonly #cuts = new Map<VmId, CutForm>();
  /** Engines that a cut VM reaches again. */
  readonly #healed = new Map<VmId, Set<string>>();
  /** Engines that fail at all VMs. */
  readonly #darkAddresses = new Map<string, CutForm>();
  /** When idle connections end, by VM and address. */
  readonly #idleUntilMs = new Map<string, number[]>();
  /** What arrives once the link is back. */
  readonly #held: {
    readonly vm: VmId;
    readonly address: string;
    readonly deliver: () => void;
  }[] = [];

  /** Draws whether a new connection's packets are lost. */
  losesConnection: (vm: VmId) => boolean = () => false;

  constructor(time: Time) {
    this.#time = time;
  }

  /** Cuts a VM off from all engines. */
  cut(vm: VmId, form: CutForm): void {
    this.#cuts.set(vm, form);
    if (!resetsOpen(form)) return;
    for (const link of this.#idleUntilMs.keys()) {
      if (link.startsWith(`${vm} `)) this.#idleUntilMs.delete(link);
    }
  }

  /** Ends the cut, for some engines only where their addresses are given. */
  heal(vm: VmId, addresses?: readonly string[]): void {
    if (addresses !== undefined) {
      this.#healed.set(vm, new Set(addresses));
      return;
    }
    this.#cuts.delete(vm);
    this.#healed.delete(vm);
    this.#releaseHeld();
  }

  /** Cuts an engine off from all VMs, by default without a sign of it. */
  darken(address: string, form: CutForm = "silent"): void {
    this.#darkAddresses.set(address, form);
  }

  lighten(address: string): void {
    this.#darkAddresses.delete(address);
    this.#releaseHeld();
  }

  #releaseHeld(): void {
    for (const message of this.#held.splice(0)) {
      this.deliver(message.vm, message.address, message.deliver);
    }
  }

  cutOf(vm: VmId, address: string): CutForm | undefined {
    const dark = this.#darkAddresses.get(address);
    if (dark !== undefined) return dark;
    return this.#healed.get(vm)?.has(address) ? undefined : this.#cuts.get(vm);
  }

  /** Takes an idle connection, or opens one. */
  connect(vm: VmId, address: string): ConnectResult {
    const idle = this.#idleUntilMs.get(`${vm} ${address}`) ?? [];
    const isKept = (idle.pop() ?? 0) > this.#time.nowMs;
    const cut = this.cutOf(vm, address);
    if (cut === undefined) {
      return !isKept && this.losesConnection(vm)
        ? NEW_CONNECTIONS.unanswered
        : { kind: "connected", isNew: !isKept };
    }
    if (!isKept) return this.connectAnew(cut);
    return CUT_EFFECTS[cut].open === "silent"
      ? { kind: "dead", isNew: false }
      : { kind: "connected", isNew: false };
  }

  /** What a new connection gets. */
  connectAnew(cut: CutForm): ConnectResult {
    return NEW_CONNECTIONS[CUT_EFFECTS[cut].fresh];
  }

  /** What a question on a new connection gets while the link is cut. */
  check(cut: CutForm): Promise<LinkState> {
    const { fresh } = CUT_EFFECTS[cut];
    return new Promise((resolve) =>
      this.#time.after(
        unansweredForMs(cut, ANSWER_TIMEOUT_MS),
        () => resolve(LINK_STATES[fresh]),
      )
    );
  }

  /** Keeps a connection whose answer is complete. */
  keep(vm: VmId, address: string): void {
    const link = `${vm} ${address}`;
    const idle = this.#idleUntilMs.get(link) ?? [];
    this.#idleUntilMs.set(link, idle);
    idle.push(this.#time.nowMs + IDLE_MS);
  }

  closeIdle(vm: VmId, address: string): void {
    this.#idleUntilMs.delete(`${vm} ${address}`);
  }

  /** Delivers what an engine sends; a silent link holds it until it heals. */
  deliver(vm: VmId, address: string, deliver: () => void): void {
    const cut = this.cutOf(vm, address);
    const isHeld = cut !== undefined && CUT_EFFECTS[cut].open === "silent";
    if (!isHeld) return deliver();
    this.#held.push({ vm, address, deliver });
  }
}
