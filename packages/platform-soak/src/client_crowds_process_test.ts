/**
 * Guards against clients and servers outside the limits that end a daemon's
 * process, or take more memory or descriptors than its machine has. The crowds
 * and bounds were fixed on code that fails some of them; they stay as they are.
 *
 * @module
 */

import { execFileSync } from "node:child_process";
import test, { type ExecutionContext } from "ava";
import { chunked, ClientCrowd, type CrowdOptions } from "./client_crowd.ts";
import {
  LONE_HOST,
  LONE_PATHS,
  LONE_PORTS,
  type LoneFleet,
  startLoneFleet,
} from "./lone_daemon.ts";

/** The smallest machine. */
const MEMORY_MB = 178;
const BYTES_PER_MB = 1_048_576;
const MAX_FDS = 4_100;
/** Lowered, so that a crowd of this size is over the limit. */
const FEW_FDS = 400;
const MANY_CLIENTS = 600;
const SENT_LIMIT_MS = 20_000;
const IDLE_LIMIT_MS = 20_000;
const SERVED_LIMIT_MS = 30_000;
const TEST_TIMEOUT_MS = 120_000;
/** Over the limit of 16,384 bytes, within that of the parser. */
const HEAD_BYTES = 60_000;
const PIPELINED_REQUESTS = 1_000;

test.before(() => {
  execFileSync("node", ["scripts/build_platform.mjs"]);
});

type Clients = Pick<CrowdOptions, "clients" | "sends">;

interface Case extends Clients {
  readonly what: string;
  readonly port?: number;
  /** Whether the clients connect from the address of another daemon. */
  readonly isFromPeer?: boolean;
  readonly maxFds?: number;
}

const FIELDS = `Host: ${LONE_HOST}\r\nAuthorization: Token good\r\n` +
  "Deadline-Ms: 40000\r\n";

function head(path: string, fields: string): string {
  return `POST ${path}1 HTTP/1.1\r\n${FIELDS}${fields}\r\n`;
}

const CHUNKED_FIELD = "Transfer-Encoding: chunked\r\n";

/** Sends the head and the same bytes from each client. */
function sendAll(
  bytes: Buffer,
  headOf = (id: string) =>
    head(LONE_PATHS.prompt, `Attempt-Id: ${id}\r\n${CHUNKED_FIELD}`),
): CrowdOptions["sends"] {
  return (number) => [headOf(`c-${number}`), bytes];
}

/** A head as daemons send it to each other, for the server that answers. */
function forwardHead(id: string): string {
  return head(
    LONE_PATHS.prompt,
    `Attempt-Id: ${id}\r\n${CHUNKED_FIELD}Endivebend-Server: i-prompt\r\n` +
      "Endivebend-Address: 127.0.0.1:1\r\n",
  );
}

const ONE_BYTE = chunked({ bodyBytes: 60_000, chunkBytes: 1 });
const KIB_64 = chunked({ bodyBytes: 4_000_000, chunkBytes: 65_536 });
const KIB_16 = chunked({ bodyBytes: 200_000, chunkBytes: 16_384 });
const SMALL = chunked({ bodyBytes: 200_000, chunkBytes: 16 });
const NOTHING = Buffer.alloc(0);
const LONG_HEAD = Buffer.from(
  `X-Y: ${"z".repeat(994)}\r\n`.repeat(HEAD_BYTES / 1_000),
);
const HEAD_BEGIN = `POST ${LONE_PATHS.prompt}1 HTTP/1.1\r\n${FIELDS}`;
const LONG_TRAILER = Buffer.concat([
  Buffer.from("1\r\nx\r\n0\r\n"),
  LONG_HEAD,
]);

/** Asks for the path, without a body. */
function ask(path: string): CrowdOptions["sends"] {
  return sendAll(
    NOTHING,
    (id) => head(path, `Attempt-Id: ${id}\r\nContent-Length: 0\r\n`),
  );
}

const CASES: readonly Case[] = [
  {
    what: "20 bodies of 60,000 bytes in chunks of 1 byte that stop",
    clients: 20,
    sends: sendAll(ONE_BYTE),
  },
  {
    what: "200 bodies of 60,000 bytes in chunks of 1 byte that stop",
    clients: 200,
    sends: sendAll(ONE_BYTE),
  },
  {
    what: "200 bodies of 200,000 bytes in chunks of 16 bytes that stop",
    clients: 200,
    sends: sendAll(SMALL),
  },
  {
    what: "60 bodies of 4,000,000 bytes in chunks of 64 KiB that stop",
    clients: 60,
    sends: sendAll(KIB_64),
  },
  {
    what: "600 bodies of 200,000 bytes in chunks of 16 KiB that stop",
    clients: MANY_CLIENTS,
    sends: sendAll(KIB_16),
  },
  {
    what:
      "60 bodies with a length of 4,000,000 bytes that stop before the last",
    clients: 60,
    sends: sendAll(
      Buffer.alloc(3_999_999, "x"),
      (id) =>
        head(
          LONE_PATHS.prompt,
          `Attempt-Id: ${id}\r\nContent-Length: 4000000\r\n`,
        ),
    ),
  },
  {
    what: "600 heads that never end",
    clients: MANY_CLIENTS,
    sends: sendAll(LONG_HEAD, () => HEAD_BEGIN),
  },
  {
    what: "2,000 heads that never end",
    clients: 2_000,
    sends: sendAll(LONG_HEAD, () => HEAD_BEGIN),
  },
  {
    what: "200 bodies with long chunk extensions",
    clients: 200,
    sends: sendAll(chunked({
      bodyBytes: 1_000,
      chunkBytes: 1,
      extension: `;x=${"y".repeat(1_000)}`,
    })),
  },
  {
    what: "600 trailers that never end",
    clients: MANY_CLIENTS,
    sends: sendAll(LONG_TRAILER),
  },
  {
    what: "1,800 trailers that never end",
    clients: 1_800,
    sends: sendAll(LONG_TRAILER),
  },
  {
    what: "100 bodies in chunks of 1 byte behind a request without an answer",
    clients: 100,
    sends: (number) => [
      head(
        LONE_PATHS.unread,
        `Attempt-Id: a-${number}\r\nContent-Length: 0\r\n`,
      ),
      head(LONE_PATHS.prompt, `Attempt-Id: b-${number}\r\n${CHUNKED_FIELD}`),
      ONE_BYTE,
    ],
  },
  {
    what: "600 connections that send nothing",
    clients: MANY_CLIENTS,
    sends: () => [],
    maxFds: FEW_FDS,
  },
  {
    what: "600 connections whose bodies stop after one byte",
    clients: MANY_CLIENTS,
    sends: sendAll(Buffer.from("1\r\nx\r\n")),
    maxFds: FEW_FDS,
  },
  {
    what: "300 clients that don't read answers of 8 MiB",
    clients: 300,
    sends: ask(LONE_PATHS.long),
  },
  {
    what: "600 clients that don't read answers of 8 MiB",
    clients: MANY_CLIENTS,
    sends: ask(LONE_PATHS.long),
  },
  {
    what: "300 clients that don't read streams of 8 MiB",
    clients: 300,
    sends: ask(LONE_PATHS.events),
  },
  {
    what: "600 clients that don't read streams of 8 MiB",
    clients: MANY_CLIENTS,
    sends: ask(LONE_PATHS.events),
  },
  {
    what: "100 clients that don't read answers in chunks of 1 byte",
    clients: 100,
    sends: ask(LONE_PATHS.tiny),
  },
  {
    what: "60 uploads of 3,000,000 bytes that their server does not read",
    clients: 60,
    sends: sendAll(
      Buffer.alloc(3_000_000, "x"),
      (id) =>
        head(
          LONE_PATHS.unread,
          `Attempt-Id: ${id}\r\nContent-Length: 3000000\r\n`,
        ),
    ),
  },
  {
    what: "200 forwarded bodies of 60,000 bytes in chunks of 1 byte that stop",
    port: LONE_PORTS.forwarding,
    isFromPeer: true,
    clients: 200,
    sends: sendAll(ONE_BYTE, forwardHead),
  },
  {
    what:
      "60 forwarded bodies of 4,000,000 bytes in chunks of 64 KiB that stop",
    port: LONE_PORTS.forwarding,
    isFromPeer: true,
    clients: 60,
    sends: sendAll(KIB_64, forwardHead),
  },
  {
    what: "200 bodies in chunks of 1 byte from no daemon's address",
    port: LONE_PORTS.forwarding,
    clients: 200,
    sends: sendAll(ONE_BYTE, forwardHead),
  },
  {
    what: "600 connections to the listener for daemons that send nothing",
    port: LONE_PORTS.forwarding,
    clients: MANY_CLIENTS,
    sends: () => [],
    maxFds: FEW_FDS,
  },
  {
    what: "200 bodies in chunks of 1 byte at the readiness port",
    port: LONE_PORTS.readiness,
    clients: 200,
    sends: sendAll(ONE_BYTE),
  },
  {
    what: "600 connections to the readiness port that send nothing",
    port: LONE_PORTS.readiness,
    clients: MANY_CLIENTS,
    sends: () => [],
    maxFds: FEW_FDS,
  },
  {
    what: "100 clients that ask for metrics 1,000 times and read nothing",
    port: LONE_PORTS.metrics,
    clients: 100,
    sends: () => [
      "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n".repeat(PIPELINED_REQUESTS),
    ],
  },
];

async function checkBounds(
  t: ExecutionContext,
  { fleet, maxFds }: { readonly fleet: LoneFleet; readonly maxFds: number },
): Promise<void> {
  const { daemon } = fleet;
  const isServing = await fleet.isServing(SERVED_LIMIT_MS);
  const peakMb = Math.round(daemon.peakBytes / BYTES_PER_MB);
  const descriptors = daemon.maxDescriptors;
  const isAlive = daemon.isAlive;
  t.log({ isAlive, isServing, peakMb, descriptors });
  t.true(isAlive, "the process ended");
  t.true(isServing, "no ordinary request was answered");
  t.true(peakMb <= MEMORY_MB, `${peakMb} MB of ${MEMORY_MB}`);
  t.true(descriptors <= maxFds, `${descriptors} descriptors of ${maxFds}`);
}

for (const { what, clients, sends, port, isFromPeer, maxFds } of CASES) {
  test.serial(`a daemon lives and serves through ${what}`, async (t) => {
    t.timeout(TEST_TIMEOUT_MS);
    const fds = maxFds ?? MAX_FDS;
    const limits = { memoryMb: MEMORY_MB, maxFds: fds };
    const fleet = await startLoneFleet(limits, { daemons: isFromPeer ? 2 : 1 });
    const crowd = new ClientCrowd({
      host: fleet.daemon.ip,
      port: port ?? LONE_PORTS.callers,
      ...(isFromPeer && { from: fleet.peerIp }),
      clients,
      sends,
    });
    t.teardown(async () => {
      crowd.close();
      await fleet.close();
    });
    await Promise.race([
      crowd.whenSent(SENT_LIMIT_MS),
      fleet.whenIdle(SENT_LIMIT_MS),
    ]);
    await fleet.whenIdle(IDLE_LIMIT_MS);
    await checkBounds(t, { fleet, maxFds: fds });
  });
}
