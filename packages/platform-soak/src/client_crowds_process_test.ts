/**
 * Guards against clients and servers outside the limits that end a daemon's
 * process, or take more memory or descriptors than its machine has. The crowds
 * and bounds were fixed on code that fails some of them; they stay as they are.
 *
 * @module
 */

import { execFileSync } from "node:child_process";
import { createSocket } from "node:dgram";
import test, { type ExecutionContext } from "ava";
import { chunked, ClientCrowd, type CrowdOptions } from "./client_crowd.ts";
import {
  exchange,
  LARGEST_BODY_BYTES,
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
/** Lowered, so that a small crowd is over the limit. */
const LITTLE_MEMORY_MB = 112;
const MANY_CLIENTS = 600;
const SENT_LIMIT_MS = 20_000;
const IDLE_LIMIT_MS = 20_000;
const SERVED_LIMIT_MS = 30_000;
/** The grace period after SIGTERM, and as much again. */
const STOP_LIMIT_MS = 16_000;
const TEST_TIMEOUT_MS = 120_000;
/** Over the limit of 16,384 bytes, within that of the parser. */
const HEAD_BYTES = 60_000;
const PIPELINED_REQUESTS = 1_000;
const DATAGRAMS = 20_000;
const DATAGRAM_BYTES = 60_000;

test.before(() => {
  execFileSync("node", ["scripts/build_platform.mjs"]);
});

type Clients = Pick<CrowdOptions, "clients" | "reads" | "sends">;

interface Case extends Clients {
  readonly what: string;
  readonly port?: number;
  /** Whether the clients connect from the address of another daemon. */
  readonly isFromPeer?: boolean;
  readonly maxFds?: number;
  readonly memoryMb?: number;
  /** How often the crowd resets its connections and comes again. */
  readonly resets?: number;
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
const MB_40 = Buffer.alloc(40_000_000, "x");
/** Announced; 40 MB of it are sent. */
const FAR_OVER_LIMIT_BYTES = 900_000_000;
const MB_40_CHUNKED = chunked({ bodyBytes: 40_000_000, chunkBytes: 65_536 });
const SHORT_LINES = "X-Y: z\r\n".repeat(60);
const LONG_ID = "z".repeat(15_000);
/** A request's prompt, whose parts nobody else has, just within the limit. */
const LONG_PROMPT_PARTS = 1_500;
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

/** A head that announces a body far over the limit. */
function announceFarOver(id: string): string {
  return head(
    LONE_PATHS.prompt,
    `Attempt-Id: ${id}\r\nContent-Length: ${FAR_OVER_LIMIT_BYTES}\r\n`,
  );
}

/** Requests without a body, sent one behind the other. */
function pipeline(
  count: number,
  headOf: (id: string) => string,
): CrowdOptions["sends"] {
  return (number) =>
    Array.from({ length: count }, (_, index) => headOf(`${number}-${index}`));
}

function headWithLongId(path: string): (id: string) => string {
  return (id) =>
    head(path, `Attempt-Id: ${id}${LONG_ID}\r\nContent-Length: 0\r\n`);
}

function shortHead(path: string, lines = ""): (id: string) => string {
  return (id) =>
    head(path, `Attempt-Id: ${id}\r\nContent-Length: 0\r\n${lines}`);
}

function headWithLongPrompt(id: string): string {
  const parts = Array.from(
    { length: LONG_PROMPT_PARTS },
    (_, index) => `${id}${index.toString(16)}:1`,
  );
  return head(
    LONE_PATHS.later,
    `Attempt-Id: ${id}\r\nContent-Length: 0\r\nModel: chimes\r\n` +
      `Token-Usage: 1500,1\r\nPrompt-Prefix: ${parts.join(",")}\r\n`,
  );
}

/** Sends the next of the kinds from each client. */
function mix(kinds: readonly CrowdOptions["sends"][]): CrowdOptions["sends"] {
  return (number) => kinds[number % kinds.length]!(number);
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
  {
    what: "60 bodies announced as 900 MB and sent on",
    clients: 60,
    memoryMb: LITTLE_MEMORY_MB,
    sends: sendAll(MB_40, announceFarOver),
  },
  {
    what: "60 bodies in chunks of 64 KiB that go on beyond the limit",
    clients: 60,
    memoryMb: LITTLE_MEMORY_MB,
    sends: sendAll(MB_40_CHUNKED),
  },
  {
    what: "60 bodies on a path without a route that go on",
    clients: 60,
    memoryMb: LITTLE_MEMORY_MB,
    sends: sendAll(
      MB_40_CHUNKED,
      (id) => head("/nowhere/", `Attempt-Id: ${id}\r\n${CHUNKED_FIELD}`),
    ),
  },
  {
    what: "60 bodies with an unknown key that go on",
    clients: 60,
    memoryMb: LITTLE_MEMORY_MB,
    sends: sendAll(
      MB_40_CHUNKED,
      (id) =>
        `POST ${LONE_PATHS.prompt}1 HTTP/1.1\r\nHost: ${LONE_HOST}\r\n` +
        `Attempt-Id: ${id}\r\nAuthorization: Token bad\r\n` +
        `${CHUNKED_FIELD}\r\n`,
    ),
  },
  {
    what: "40 bodies of 4,000,000 bytes that are reset, 10 times",
    clients: 40,
    memoryMb: LITTLE_MEMORY_MB,
    resets: 10,
    sends: sendAll(KIB_64),
  },
  {
    what: "100 clients that don't read answers of 8 MiB, with little memory",
    clients: 100,
    memoryMb: LITTLE_MEMORY_MB,
    sends: ask(LONE_PATHS.long),
  },
  {
    what: "30 clients that don't read answers of 8 MiB and reset, 10 times",
    clients: 30,
    memoryMb: LITTLE_MEMORY_MB,
    resets: 10,
    sends: ask(LONE_PATHS.long),
  },
  {
    what: "100 clients with 30 request ids of 15,000 bytes each",
    clients: 100,
    reads: true,
    memoryMb: LITTLE_MEMORY_MB,
    sends: pipeline(30, headWithLongId(LONE_PATHS.later)),
  },
  {
    what: "100 clients with 30 heads of 15,000 bytes that wait for an answer",
    clients: 100,
    memoryMb: LITTLE_MEMORY_MB,
    sends: pipeline(30, headWithLongId(LONE_PATHS.unread)),
  },
  {
    what: "400 clients with 31 short requests that wait for an answer",
    clients: 400,
    memoryMb: LITTLE_MEMORY_MB,
    sends: pipeline(31, shortHead(LONE_PATHS.unread)),
  },
  {
    what: "400 clients with 31 requests of 60 header lines that wait",
    clients: 400,
    memoryMb: LITTLE_MEMORY_MB,
    sends: pipeline(31, shortHead(LONE_PATHS.unread, SHORT_LINES)),
  },
  {
    what: "700 clients with 31 short requests that wait for an answer",
    clients: 700,
    sends: pipeline(31, shortHead(LONE_PATHS.unread)),
  },
  {
    what: "400 heads of 60,000 bytes that wait for an answer",
    clients: 400,
    memoryMb: LITTLE_MEMORY_MB,
    sends: sendAll(
      NOTHING,
      (id) =>
        head(
          LONE_PATHS.unread,
          `Attempt-Id: ${id}\r\nContent-Length: 0\r\n${LONG_HEAD}`,
        ),
    ),
  },
  {
    what: "40 clients with 30 prompts of 1,500 parts each",
    clients: 40,
    reads: true,
    memoryMb: LITTLE_MEMORY_MB,
    sends: pipeline(30, headWithLongPrompt),
  },
  {
    what: "60 bodies at the readiness port that go on",
    port: LONE_PORTS.readiness,
    clients: 60,
    memoryMb: LITTLE_MEMORY_MB,
    sends: sendAll(MB_40_CHUNKED),
  },
  {
    what: "60 bodies at the port of metrics that go on",
    port: LONE_PORTS.metrics,
    clients: 60,
    memoryMb: LITTLE_MEMORY_MB,
    sends: sendAll(MB_40_CHUNKED),
  },
  {
    what: "60 bodies at the port of records that go on",
    port: LONE_PORTS.records,
    clients: 60,
    memoryMb: LITTLE_MEMORY_MB,
    sends: sendAll(MB_40_CHUNKED),
  },
  {
    what: "600 connections to the port of records that send nothing",
    port: LONE_PORTS.records,
    clients: MANY_CLIENTS,
    sends: () => [],
    maxFds: FEW_FDS,
  },
  {
    what: "60 bodies from no daemon's address that go on",
    port: LONE_PORTS.forwarding,
    clients: 60,
    memoryMb: LITTLE_MEMORY_MB,
    sends: sendAll(MB_40_CHUNKED, forwardHead),
  },
  {
    what: "60 forwarded bodies that go on beyond the limit",
    port: LONE_PORTS.forwarding,
    isFromPeer: true,
    clients: 60,
    memoryMb: LITTLE_MEMORY_MB,
    sends: sendAll(MB_40_CHUNKED, forwardHead),
  },
  {
    what: "120 clients of six kinds at once",
    clients: 120,
    memoryMb: LITTLE_MEMORY_MB,
    sends: mix([
      sendAll(MB_40, announceFarOver),
      sendAll(MB_40_CHUNKED),
      sendAll(KIB_64),
      sendAll(ONE_BYTE),
      ask(LONE_PATHS.long),
      pipeline(30, headWithLongId(LONE_PATHS.unread)),
    ]),
  },
];

async function checkBounds(
  t: ExecutionContext,
  { fleet, maxFds, memoryMb }: {
    readonly fleet: LoneFleet;
    readonly maxFds: number;
    readonly memoryMb: number;
  },
): Promise<void> {
  const { daemon } = fleet;
  const isServing = await fleet.isServing(SERVED_LIMIT_MS);
  const peakMb = Math.round(daemon.peakBytes / BYTES_PER_MB);
  const descriptors = daemon.maxDescriptors;
  const isAlive = daemon.isAlive;
  t.log({ isAlive, isServing, peakMb, descriptors });
  t.true(isAlive, "the process ended");
  t.true(isServing, "no ordinary request was answered");
  t.true(peakMb <= memoryMb, `${peakMb} MB of ${memoryMb}`);
  t.true(descriptors <= maxFds, `${descriptors} descriptors of ${maxFds}`);
}

/** Waits until the crowd has sent all, or the daemon reads no more. */
async function load(crowd: ClientCrowd, fleet: LoneFleet): Promise<void> {
  await Promise.race([
    crowd.whenSent(SENT_LIMIT_MS),
    fleet.whenIdle(SENT_LIMIT_MS),
  ]);
}

for (const { what, port, isFromPeer, maxFds, ...rest } of CASES) {
  const { memoryMb = MEMORY_MB, resets = 0, ...clients } = rest;
  test.serial(`a daemon lives and serves through ${what}`, async (t) => {
    t.timeout(TEST_TIMEOUT_MS);
    const fds = maxFds ?? MAX_FDS;
    const limits = { memoryMb, maxFds: fds };
    const fleet = await startLoneFleet(limits, { daemons: isFromPeer ? 2 : 1 });
    const open = () =>
      new ClientCrowd({
        host: fleet.daemon.ip,
        port: port ?? LONE_PORTS.callers,
        ...(isFromPeer && { from: fleet.peerIp }),
        ...clients,
      });
    let crowd = open();
    t.teardown(async () => {
      crowd.close();
      await fleet.close();
    });
    for (let reset = 0; reset < resets; reset++) {
      await load(crowd, fleet);
      crowd.reset();
      crowd = open();
    }
    await load(crowd, fleet);
    await fleet.whenIdle(IDLE_LIMIT_MS);
    await checkBounds(t, { fleet, maxFds: fds, memoryMb });
  });
}

test.serial("a daemon lives and serves through 20,000 datagrams of 60,000 bytes", async (t) => {
  t.timeout(TEST_TIMEOUT_MS);
  const limits = { memoryMb: LITTLE_MEMORY_MB, maxFds: MAX_FDS };
  const fleet = await startLoneFleet(limits);
  const socket = createSocket("udp4");
  t.teardown(async () => {
    socket.close();
    await fleet.close();
  });
  const datagram = Buffer.alloc(DATAGRAM_BYTES, "x");
  for (let sent = 0; sent < DATAGRAMS; sent++) {
    await new Promise<unknown>((resolve) =>
      socket.send(datagram, LONE_PORTS.gossip, fleet.daemon.ip, resolve)
    );
  }
  await fleet.whenIdle(IDLE_LIMIT_MS);
  await checkBounds(t, {
    fleet,
    maxFds: MAX_FDS,
    memoryMb: LITTLE_MEMORY_MB,
  });
});

test.serial("a daemon stops amid clients that don't end", async (t) => {
  t.timeout(TEST_TIMEOUT_MS);
  const fleet = await startLoneFleet({
    memoryMb: LITTLE_MEMORY_MB,
    maxFds: MAX_FDS,
  });
  const crowd = new ClientCrowd({
    host: fleet.daemon.ip,
    port: LONE_PORTS.callers,
    clients: 60,
    sends: mix([
      sendAll(MB_40, announceFarOver),
      sendAll(KIB_64),
      sendAll(ONE_BYTE),
      ask(LONE_PATHS.long),
      ask(LONE_PATHS.unread),
    ]),
  });
  t.teardown(async () => {
    crowd.close();
    await fleet.close();
  });
  await load(crowd, fleet);
  const { peakBytes } = fleet.daemon;
  const peakMb = Math.round(peakBytes / BYTES_PER_MB);
  t.true(await fleet.daemon.stop(STOP_LIMIT_MS), "the process has not ended");
  t.true(peakMb <= LITTLE_MEMORY_MB, `${peakMb} MB of ${LITTLE_MEMORY_MB}`);
});

for (const chunkBytes of [1, 65_536]) {
  const what = `of the largest size in chunks of ${chunkBytes} bytes`;
  test.serial(`a single body ${what} is served`, async (t) => {
    t.timeout(TEST_TIMEOUT_MS);
    const fleet = await startLoneFleet({
      memoryMb: LITTLE_MEMORY_MB,
      maxFds: MAX_FDS,
    });
    t.teardown(() => fleet.close());
    const text = await exchange({
      host: fleet.daemon.ip,
      port: LONE_PORTS.callers,
      sends: [
        head(
          LONE_PATHS.prompt,
          `Attempt-Id: largest\r\nConnection: close\r\n${CHUNKED_FIELD}`,
        ),
        chunked({ bodyBytes: LARGEST_BODY_BYTES, chunkBytes }),
        "0\r\n\r\n",
      ],
    });
    t.regex(text, /^HTTP\/1\.1 200 [^]*ok$/);
  });
}
