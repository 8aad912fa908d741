/**
 * Calls over loopback, with client and server in this process: times are for
 * both sides together.
 *
 * @module
 */

import type { AddressInfo, Server, Socket } from "node:net";

/** How many calls a sample makes; few calls drown in garbage collection. */
export const CALLS = [400, 800, 1_600];
const AT_ONCE = 8;

/** Bytes that the sockets of a server carried in both directions. */
export function countBytes(server: Server): () => number {
  const sockets = new Set<Socket>();
  server.on("connection", (socket) => sockets.add(socket));
  return () =>
    [...sockets].reduce(
      (sum, { bytesRead, bytesWritten }) => sum + bytesRead + bytesWritten,
      0,
    );
}

/** Listens on a free port and gives it. */
export function listen(server: Server): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/** Makes one call. */
export type Call<Client> = (client: Client) => Promise<unknown>;

/** Calls in a few runs side by side, as a daemon makes them. */
export async function callMany(count: number, call: () => Promise<unknown>) {
  const run = async () => {
    for (let index = 0; index < count / AT_ONCE; index++) await call();
  };
  await Promise.all(Array.from({ length: AT_ONCE }, run));
}
