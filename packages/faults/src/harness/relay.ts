/**
 * A TCP relay that stands for the link from one failure domain to one listener
 * of another. A cut link carries nothing and reports nothing, as lost packets
 * do.
 *
 * @module
 */

import { type AddressInfo, connect, createServer, type Socket } from "node:net";

const LOOPBACK = "127.0.0.1";

/** One listening relay. */
export class Relay {
  readonly #target: { readonly host: string; readonly port: number };
  readonly #server = createServer(
    { allowHalfOpen: true },
    (socket) => this.#accept(socket),
  );
  readonly #sockets = new Set<Socket>();
  #isCut = false;

  constructor(target: string) {
    const colon = target.lastIndexOf(":");
    const host = target.slice(0, colon);
    this.#target = { host, port: Number(target.slice(colon + 1)) };
  }

  get address(): string {
    return `${LOOPBACK}:${(this.#server.address() as AddressInfo).port}`;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, LOOPBACK, () => resolve())
    );
  }

  /** Stops carrying bytes; connections stay open and new ones are accepted. */
  cut(): void {
    this.#isCut = true;
    for (const socket of this.#sockets) socket.unpipe().pause();
  }

  /** Carries again; connections that were cut are reset. */
  heal(): void {
    if (!this.#isCut) return;
    this.#isCut = false;
    this.#destroyAll();
  }

  close(): void {
    this.#server.close();
    this.#destroyAll();
  }

  #accept(near: Socket): void {
    this.#track(near);
    if (this.#isCut) {
      near.pause();
      return;
    }
    const far = connect({ ...this.#target, allowHalfOpen: true });
    this.#track(far);
    near.pipe(far);
    far.pipe(near);
    near.once("close", () => far.destroy());
    far.once("close", () => near.destroy());
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.once("close", () => this.#sockets.delete(socket));
  }

  #destroyAll(): void {
    for (const socket of [...this.#sockets]) reset(socket);
  }
}

function reset(socket: Socket): void {
  // A reset of a socket that already sent its end fails and leaves it open.
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
