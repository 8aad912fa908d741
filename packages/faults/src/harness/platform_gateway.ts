/**
 * The platform as one failure domain reaches it. Every call is passed on; in
 * the VM list, addresses of other failure domains are replaced by those of the
 * relays that lead there.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { VmEntry, VmList } from "@endivebend/types";
import { Pool } from "undici";

const LOOPBACK = "127.0.0.1";
/** Four long polls and some appends of each daemon of the failure domain. */
const CONNECTIONS = 128;

/** Where the gateway leads and how it rewrites the VM list. */
export interface GatewayOptions {
  readonly platformAddress: string;
  readonly rewrite: (vm: VmEntry) => VmEntry;
}

/** One listening gateway. */
export class PlatformGateway {
  readonly #options: GatewayOptions;
  readonly #pool: Pool;
  readonly #server = createServer((request, response) => {
    if (!this.#isCut) void this.#pass(request, response);
  });
  #isCut = false;

  constructor(options: GatewayOptions) {
    this.#options = options;
    this.#pool = new Pool(`http://${options.platformAddress}`, {
      connections: CONNECTIONS,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  get address(): string {
    return `${LOOPBACK}:${(this.#server.address() as AddressInfo).port}`;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, LOOPBACK, () => resolve())
    );
  }

  /** Answers nothing more, neither running calls nor new ones. */
  cut(): void {
    this.#isCut = true;
  }

  /** Answers again; calls that were cut lose their connections. */
  heal(): void {
    if (!this.#isCut) return;
    this.#isCut = false;
    this.#server.closeAllConnections();
  }

  async close(): Promise<void> {
    this.#server.closeAllConnections();
    this.#server.close();
    await this.#pool.destroy();
  }

  async #pass(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const answer = await this.#pool.request({
        path: request.url ?? "/",
        method: request.method as "GET",
        body: request.method === "GET" ? null : request,
      });
      const bytes = Buffer.from(await answer.body.arrayBuffer());
      // An answer that arrives after the cut is lost.
      if (this.#isCut) return;
      const isVmList = request.url === "/v1/vms";
      response.writeHead(answer.statusCode, {
        "content-type": "application/json",
      });
      response.end(isVmList ? this.#rewriteList(bytes) : bytes);
    } catch {
      if (!this.#isCut) response.destroy();
    }
  }

  #rewriteList(bytes: Buffer): string {
    const list = JSON.parse(bytes.toString()) as VmList;
    return JSON.stringify({
      ...list,
      vms: list.vms.map(this.#options.rewrite),
    });
  }
}
