/**
 * Test helpers: a raw TCP server and sample requests and attempts.
 *
 * @module
 */

import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { MemoryBudget } from "@endivebend/byte-buffers";
import {
  type AnswerHead,
  type AttemptFailure,
  type AttemptOrder,
  type CacheScope,
  type RequestDigest,
  type RoutedRequest,
  type RouteName,
  type ServerClient,
} from "@endivebend/request-path";
import {
  type BackendServerId,
  brandId,
  type FailureDomainId,
  type RequestId,
  type ServiceName,
} from "@endivebend/types";
import type { ClientMessage } from "./server_client.ts";
import type { PlatformSettings } from "./settings.ts";
import type { StoreStandIn } from "./testing_store.ts";

/**
 * Starts a TCP server on loopback. `serve` is called with each request's text
 * and writes the answer's bytes itself.
 */
export async function startRawServer(
  serve: (socket: Socket, request: string) => void,
): Promise<{ readonly address: string; close(): void }> {
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    let text = "";
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      text += chunk.toString();
      if (!text.includes("\r\n\r\n")) return;
      const request = text;
      text = "";
      serve(socket, request);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    close() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

/** Memory for messages that no test uses up. */
export function testMemory(): MemoryBudget {
  return new MemoryBudget(67_108_864);
}

/** Makes a routed request; `fields` replace its values. */
export function testRoutedRequest(
  fields: Partial<RoutedRequest> = {},
): RoutedRequest {
  const service = brandId<ServiceName>("belfry");
  const message: ClientMessage = {
    method: "POST",
    target: "/book/1?x=2",
    rawHeaders: ["Host", "bells.example", "Attempt-Id", "a1", "X-Own", "y"],
    body: Buffer.from("{}"),
  };
  return {
    requestId: brandId<RequestId>("a1"),
    digest: brandId<RequestDigest>("d1"),
    route: {
      name: brandId<RouteName>("r"),
      host: "bells.example",
      pathPrefix: "/",
      kind: "at_most_once",
      timeoutMs: 2_000,
      targetMs: 300,
      maxGapMs: undefined,
      maxAttempts: 1,
      urgency: 2,
      allowsAnonymous: true,
      destinations: [{ service, weight: 1 }],
    },
    service,
    team: undefined,
    work: undefined,
    cost: 1,
    deadlineMs: Number.MAX_SAFE_INTEGER,
    timeoutAtMs: Number.MAX_SAFE_INTEGER,
    resumeAfter: undefined,
    takesUp: undefined,
    message,
    ...fields,
  };
}

/** Makes an attempt at a server; `fields` replace its values. */
export function testAttemptOrder(
  address: string,
  fields: Partial<AttemptOrder> = {},
): AttemptOrder {
  const routedRequest = fields.request ?? testRoutedRequest();
  return {
    request: routedRequest,
    server: {
      id: brandId<BackendServerId>("i-1"),
      address,
      service: routedRequest.service,
      failureDomain: brandId<FailureDomainId>("a"),
    },
    deadlineMs: 2_000,
    resumeAfter: undefined,
    cache: {
      weights: undefined,
      scope: "1/" as CacheScope,
      parts: [],
      tokensToRead: 0,
      fetchFrom: undefined,
      saveTo: undefined,
    },
    cacheScope: undefined,
    urgency: 2,
    forwarder: undefined,
    expectedStartMs: undefined,
    ...fields,
  };
}

/** Result of an attempt; `body` is decoded as UTF-8. */
export interface AttemptResult {
  head: AnswerHead | undefined;
  body: string;
  isComplete: boolean;
  failure: AttemptFailure | undefined;
}

/**
 * Runs an attempt to its end or failure. `onData` is called with each chunk, in
 * the turn of the event loop in which it was read.
 */
export function runAttempt(
  client: ServerClient,
  order: AttemptOrder,
  onData: (chunk: Buffer) => void = () => {},
): Promise<AttemptResult> {
  return new Promise((resolve) => {
    const result: AttemptResult = {
      head: undefined,
      body: "",
      isComplete: false,
      failure: undefined,
    };
    client.start(order, {
      connected() {},
      sent() {},
      head: (head) => {
        result.head = head;
      },
      data: (chunk) => {
        result.body += chunk.toString();
        onData(chunk);
      },
      end: () => {
        result.isComplete = true;
        resolve(result);
      },
      failed: (failure) => {
        result.failure = failure;
        resolve(result);
      },
    });
  });
}

let addresses = 0;

/**
 * A loopback address that no other daemon of this or another test process has.
 * A free port may be taken by another process before a daemon listens there,
 * and the port after it may be in use.
 */
function ownAddress(): string {
  addresses += 1;
  const { pid } = process;
  return `127.${1 + (pid >> 8) % 250}.${pid & 255}.${1 + addresses % 250}`;
}

/** Ports of a daemon: held together, none is given out twice. */
async function freePorts(host: string) {
  const held: Server[] = [];
  const hold = async (port: number): Promise<number> => {
    const server = createServer().listen(port, host);
    await once(server, "listening");
    held.push(server);
    return (server.address() as AddressInfo).port;
  };
  const holdThreeInRow = async (): Promise<number> => {
    const first = await hold(0);
    try {
      await hold(first + 1);
      await hold(first + 2);
      return first;
    } catch {
      return await holdThreeInRow();
    }
  };
  const ports = {
    callers: await hold(0),
    readiness: await hold(0),
    metrics: await hold(0),
    firstPeer: await holdThreeInRow(),
  };
  await Promise.all(held.map((server) => {
    server.close();
    return once(server, "close");
  }));
  return ports;
}

/** Settings of a daemon on free ports of a loopback address of its own. */
export async function settingsFor(
  store: StoreStandIn,
): Promise<PlatformSettings> {
  const host = ownAddress();
  const ports = await freePorts(host);
  return {
    vm: brandId("vm-1"),
    ip: host,
    failureDomain: brandId("a"),
    callers: { host, port: ports.callers },
    readiness: { host, port: ports.readiness },
    metrics: { host, port: ports.metrics },
    firstPeerPort: ports.firstPeer,
    seedIps: [],
    storeAddress: store.address,
    storeRates: { writesPerS: 400, keepMs: 300_000 },
    messageBytes: 23_330_816,
    processLimits: { memoryBytes: 186_646_528, maxDescriptors: 4_100 },
    graceMs: 4_000,
    leaseMs: 3_000,
    weightsBoundMs: 8_000,
    bounds: {
      tolerance: { overshootShare: 0.1, slackUnits: 0, windowMs: 8_000 },
      repeats: { windowMs: 10_000, share: 0.2, slack: 58 },
    },
  };
}

/** Lists a plain server. */
export function putServer(store: StoreStandIn, address: string): void {
  store.put("keyed.servers", "i-1", {
    service: "belfry",
    address,
    zone: "a",
    slots: 6,
    phase: "ready",
    models: [],
    born: 1,
  });
}

/** A configuration with a plain route and a stream route. */
export const CONFIGURATION = {
  version: 1,
  routes: [{
    name: "r",
    hostname: "bells.example",
    path_prefix: "/book/",
    type: "unsafe",
    timeout_ms: 2_000,
    attempts: 1,
    service: "belfry",
  }, {
    name: "draft",
    hostname: "bells.example",
    path_prefix: "/draft/",
    type: "stream",
    timeout_ms: 6_000,
    attempts: 1,
    service: "belfry",
  }],
  services: [{ name: "belfry", max_conns: 100 }],
  limits: { idle_timeout_ms: 15_000, header_timeout_ms: 3_000 },
  tenants: [{
    name: "st-mary",
    api_keys: ["good"],
    rate_per_s: 1_000,
    burst: 1_000,
    unit: "calls",
  }],
};

/** Resolves when the daemon reports that it is ready. */
export async function waitReady(settings: PlatformSettings): Promise<void> {
  const { host, port } = settings.readiness;
  for (let round = 0; round < 200; round++) {
    const answer = await fetch(`http://${host}:${port}/api/ready`);
    if (answer.status === 200) return;
    await new Promise((resolve) => setTimeout(resolve, 25));
  }
  throw new Error(
    "The daemon did not become ready after 200 probes; look at its log lines",
  );
}
