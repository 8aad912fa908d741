/**
 * Registers a daemon in the store, which lists all daemons of the fleet.
 *
 * @module
 */

import type { DaemonParts } from "./daemon_parts.ts";

const REGISTER_RETRY_DELAY_MS = 1_000;

/** The registration of this daemon. */
export class DaemonRegistration {
  readonly #parts: DaemonParts;
  /** Whether the store has listed the other daemons. */
  #isRegistered = false;

  constructor(parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Whether the store has listed the other daemons. */
  get isRegistered(): boolean {
    return this.#isRegistered;
  }

  /** Registers this daemon and adds all registered daemons to the fleet. */
  async register(): Promise<void> {
    const { vm, ip } = this.#parts.settings;
    const { store, log, scheduler } = this.#parts.ports;
    try {
      const members = await store.registerDaemon(vm, ip);
      for (const [member, memberIp] of members) {
        this.#parts.fleet.list(
          member,
          this.#parts.peerAddress(memberIp),
          this.#parts.nowMs(),
        );
      }
      this.#isRegistered = true;
      log.stateChange("registered", { members: members.size });
      this.#parts.gossipChannel.broadcast();
    } catch (caught) {
      const reason = (caught as Error).message;
      log.decision("register_failed", { reason });
      scheduler.after(REGISTER_RETRY_DELAY_MS, () => void this.register());
    }
  }
}
