/**
 * Ports for daemons, which must be known before the daemons start.
 *
 * @module
 */

import { createServer } from "node:net";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Below the range from which outgoing connections get their ports. */
const FIRST_PORT = 12_000;
const LAST_PORT = 32_000;

/** Finds ports that can be bound; the process id spreads parallel runs. */
export class PortFinder {
  readonly #random = xoroshiro128plus(process.pid);
  readonly #taken = new Set<number>();

  async take(): Promise<number> {
    while (true) {
      const port = uniformInt(this.#random, FIRST_PORT, LAST_PORT);
      if (this.#taken.has(port) || !await canBind(port)) continue;
      this.#taken.add(port);
      return port;
    }
  }
}

function canBind(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
