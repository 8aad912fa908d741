/**
 * Connections between simulated VMs and engines, and cuts between them.
 *
 * @module
 */

import type { Scheduler } from "@endivebend/clock";
import type { VmId } from "@endivebend/types";

/**
 * What a cut does: connections hang; they are reset, and so are new ones; or
 * open ones live on while new ones are refused.
 */
export type CutForm = "silent" | "reset" | "old_alive";

/** How long an idle connection is kept. */
const IDLE_MS = 3_400;
/** Time after which a connection attempt without an answer is given up. */
const CONNECT_TIMEOUT_MS = 300;
const LINK_MS = 1;

/** What a VM gets that wants to send on a connection. */
export type ConnectResult =
  | { readonly kind: "connected"; readonly isNew: boolean }
  /** The connection takes bytes that never arrive. */
  | { readonly kind: "dead" }
  | {
    readonly kind: "failed";
    readonly afterMs: number;
    readonly reason: string;
  };

type Time = Scheduler & { readonly nowMs: number };

/** The links of all VMs to all engines. */
export class ServerLinks {
  readonly #time: Time;
  readonly #cuts = new Map<VmId, CutForm>();
  /** Engines that a cut VM reaches again. */
  readonly #healed = new Map<VmId, Set<string>>();
  /** Engines that reach nobody. */
  readonly #darkAddresses = new Set<string>();
  /** When idle connections end, by VM and address. */
  readonly #idleUntilMs = new Map<string, number[]>();
  /** What arrives once the link is back. */
  readonly #held: {
    readonly vm: VmId;
    readonly address: string;
    readonly deliver: () => void;
  }[] = [];

  constructor(time: Time) {
    this.#time = time;
  }

  /** Cuts a VM off from all engines. */
  cut(vm: VmId, form: CutForm): void {
    this.#cuts.set(vm, form);
    if (form !== "reset") return;
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

  /** Cuts an engine off from all VMs, without a sign of it. */
  darken(address: string): void {
    this.#darkAddresses.add(address);
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
    if (this.#darkAddresses.has(address)) return "silent";
    return this.#healed.get(vm)?.has(address) ? undefined : this.#cuts.get(vm);
  }

  /** Takes an idle connection, or opens one. */
  connect(vm: VmId, address: string): ConnectResult {
    const idle = this.#idleUntilMs.get(`${vm} ${address}`) ?? [];
    const isKept = (idle.pop() ?? 0) > this.#time.nowMs;
    const cut = this.cutOf(vm, address);
    if (cut === undefined) return { kind: "connected", isNew: !isKept };
    if (!isKept) return this.connectFailure(cut);
    return cut === "silent"
      ? { kind: "dead" }
      : { kind: "connected", isNew: false };
  }

  /** What a new connection gets. */
  connectFailure(cut: CutForm): ConnectResult & { readonly kind: "failed" } {
    if (cut === "silent") {
      const reason = "The server did not accept the connection in time";
      return { kind: "failed", afterMs: CONNECT_TIMEOUT_MS, reason };
    }
    const code = cut === "reset" ? "ECONNRESET" : "ECONNREFUSED";
    return {
      kind: "failed",
      afterMs: 2 * LINK_MS,
      reason: `connect ${code}`,
    };
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
    if (this.cutOf(vm, address) !== "silent") return deliver();
    this.#held.push({ vm, address, deliver });
  }
}
