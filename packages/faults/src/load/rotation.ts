/**
 * The callers' load balancer: sends calls to daemons whose `/readyz` answered
 * lately, and another daemon's way when a connection is refused.
 *
 * @module
 */

import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { Pool } from "undici";
import type { Daemon } from "../harness/daemon.ts";

const CHECK_INTERVAL_MS = 200;
const CONNECTIONS = 64;

/** One daemon as callers reach it. */
export interface Target {
  readonly daemon: Daemon;
  readonly pool: Pool;
}

/** Daemons in rotation. */
export class Rotation {
  readonly #targets: readonly Target[];
  readonly #random: RandomGenerator;
  #ready: readonly Target[];
  #timer: NodeJS.Timeout | undefined;

  constructor(daemons: readonly Daemon[], random: RandomGenerator) {
    this.#targets = daemons.map((daemon) => ({
      daemon,
      pool: new Pool(`http://${daemon.callersAddress}`, {
        connections: CONNECTIONS,
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
      }),
    }));
    this.#ready = this.#targets;
    this.#random = random;
  }

  /** Starts the health checks. */
  start(): void {
    this.#timer = setInterval(() => void this.#check(), CHECK_INTERVAL_MS);
  }

  /** A daemon in rotation; any daemon when none is. */
  pick(): Target {
    const choice = this.#ready.length > 0 ? this.#ready : this.#targets;
    return choice[uniformInt(this.#random, 0, choice.length - 1)]!;
  }

  /** The target of one daemon. */
  of(daemon: Daemon): Target {
    return this.#targets.find((target) => target.daemon === daemon)!;
  }

  /** Takes a daemon out until its next successful check. */
  takeOut(target: Target): void {
    this.#ready = this.#ready.filter((other) => other !== target);
  }

  async close(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.#targets.map(({ pool }) => pool.destroy()));
  }

  async #check(): Promise<void> {
    const checks = await Promise.all(
      this.#targets.map(({ daemon }) => daemon.isReady()),
    );
    this.#ready = this.#targets.filter((_, index) => checks[index]);
  }
}

/** True when a connection could not be made, so nothing was sent. */
export function isConnectFailure(caught: unknown): boolean {
  const { code } = (caught ?? {}) as { readonly code?: string };
  return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT";
}
