/**
 * Test helpers: a daemon in this process with a store, a server that answers,
 * and raw clients.
 *
 * @module
 */

import { connect, type Socket } from "node:net";
import type { ExecutionContext } from "ava";
import { createDaemon } from "./daemon.ts";
import type { Endpoint, PlatformSettings } from "./settings.ts";
import {
  CONFIGURATION,
  putServer,
  settingsFor,
  startRawServer,
  waitReady,
} from "./testing.ts";
import { startStore } from "./testing_store.ts";

/** A raw connection; what is written to it is up to the test. */
export interface TestClient {
  readonly socket: Socket;
  /** Resolves with all that came when the connection is closed. */
  readonly closed: Promise<string>;
  /** What has come so far. */
  received(): string;
}

/** A running daemon that the test's teardown stops. */
export interface TestDaemon {
  readonly settings: PlatformSettings;
  /** Ids of the requests that have run, in order. */
  readonly ran: string[];
  /** Connects to the endpoint, that of callers by default. */
  open(endpoint?: Endpoint): TestClient;
}

/**
 * Starts a daemon whose server answers "ok".
 *
 * @example
 * ```ts
 * const { open } = await startTestDaemon(t, { limits: { max_body_bytes: 10 } });
 * ```
 */
export async function startTestDaemon(
  t: ExecutionContext,
  { limits, messageBytes }: {
    /** Limits of the configuration that differ from the sample's. */
    readonly limits: Readonly<Record<string, number>>;
    /** What the daemon may hold of messages. */
    readonly messageBytes?: number;
  },
): Promise<TestDaemon> {
  const store = await startStore();
  const ran: string[] = [];
  const server = await startRawServer((socket, text) => {
    const id = /attempt-id: (\S+)/i.exec(text)?.[1] ?? "";
    ran.push(id);
    // Requests with such an id stay without an answer.
    if (id.startsWith("held")) return;
    socket.write(
      `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: s\r\n` +
        "Content-Length: 2\r\n\r\nok",
    );
  });
  const settings = {
    ...await settingsFor(store),
    ...(messageBytes !== undefined && { messageBytes }),
  };
  const daemon = createDaemon(settings);
  daemon.start();
  store.put("keyed.op", "config", {
    ...CONFIGURATION,
    limits: { ...CONFIGURATION.limits, ...limits },
  });
  putServer(store, server.address);
  await waitReady(settings);
  t.teardown(async () => {
    await new Promise<void>((resolve) => daemon.stop(resolve));
    store.close();
    server.close();
  });
  return {
    settings,
    ran,
    open(endpoint = settings.callers) {
      const client = openClient(endpoint);
      t.teardown(() => client.socket.destroy());
      return client;
    },
  };
}

function openClient({ host, port }: Endpoint): TestClient {
  const socket = connect(port, host);
  let text = "";
  socket.on("data", (chunk) => text += chunk);
  socket.on("error", () => {});
  const closed = new Promise<string>((resolve) =>
    socket.once("close", () => resolve(text))
  );
  return { socket, closed, received: () => text };
}
