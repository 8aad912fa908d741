import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { request as httpsRequest } from "node:https";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { connect, type ConnectionOptions, type TLSSocket } from "node:tls";
import { createPeerClients } from "@endivebend/peers";
import { parseSettings, SETTINGS_EXAMPLE } from "@endivebend/settings";
import { openPeerListener } from "../daemon/peer_listener.ts";
import { openListener } from "./listener.ts";
import { writeJson } from "./respond.ts";
import {
  createTestCertificate,
  type TestCertificate,
} from "./testing_certificates.ts";

const LIMITS = {
  maxHeaderBytes: 16_384,
  maxConnections: 100,
  requestTimeoutMs: 60_000,
  headersTimeoutMs: 60_000,
};
const SHARED_KEY = "0123456789abcdef0123456789abcdef";

/** Creates a temporary directory for TLS files, removed after the test. */
async function createFiles(t: ExecutionContext) {
  const directory = await mkdtemp(join(tmpdir(), "endivebend-tls-"));
  t.teardown(() => rm(directory, { recursive: true }));
  const tls = {
    certFile: join(directory, "cert.pem"),
    keyFile: join(directory, "key.pem"),
    caFile: join(directory, "ca.pem"),
  };
  return {
    tls,
    writeCert: ({ cert }: TestCertificate) => writeFile(tls.certFile, cert),
    writeKey: ({ key }: TestCertificate) => writeFile(tls.keyFile, key),
    writeCa: (...authorities: readonly TestCertificate[]) =>
      writeFile(tls.caFile, authorities.map(({ cert }) => cert).join("")),
  };
}

async function handshake(
  address: string,
  options: ConnectionOptions,
): Promise<TLSSocket> {
  const [host, port] = address.split(":");
  const socket = connect({ host, port: Number(port), ...options });
  await once(socket, "secureConnect");
  return socket;
}

async function readCommonName(address: string, ca: string): Promise<string> {
  const socket = await handshake(address, { ca });
  const name = socket.getPeerCertificate().subject.CN;
  socket.destroy();
  return String(name);
}

interface ReloadRecorder {
  readonly results: unknown[];
  readonly onReload: (failure: unknown) => void;
  next(count: number): Promise<void>;
}

function recordReloads(): ReloadRecorder {
  const results: unknown[] = [];
  let wake = () => {};
  return {
    results,
    onReload(failure) {
      results.push(failure);
      wake();
    },
    async next(count) {
      while (results.length < count) {
        await new Promise<void>((resolve) => wake = resolve);
      }
    },
  };
}

// Guards against a certificate renewal that interrupts streams or that takes
// effect only after a restart.
test("new certificates are used for new connections while a stream continues", async (t) => {
  const files = await createFiles(t);
  const authority = createTestCertificate("authority");
  const [first, second] = ["first", "second"]
    .map((name) => createTestCertificate(name, authority)) as [
      TestCertificate,
      TestCertificate,
    ];
  await files.writeCert(first);
  await files.writeKey(first);
  const { certFile, keyFile } = files.tls;
  const reloads = recordReloads();
  let endAnswer = () => {};
  const listener = await openListener({
    host: "127.0.0.1",
    port: 0,
    tls: { certFile, keyFile },
  }, {
    limits: LIMITS,
    onReload: reloads.onReload,
    handle(_request, response) {
      response.write("begin ");
      endAnswer = () => void response.end("end");
    },
  });
  const { cert: ca } = authority;
  const request = httpsRequest(`https://${listener.address}/`, { ca });
  request.end();
  const [response] = await once(request, "response");
  response.setEncoding("utf8");
  const [begin] = await once(response, "data");
  t.is(await readCommonName(listener.address, ca), "first");
  await files.writeCert(second);
  await reloads.next(1);
  t.truthy(reloads.results[0], "a certificate without its key is not used");
  t.is(await readCommonName(listener.address, ca), "first");
  await files.writeKey(second);
  await reloads.next(2);
  t.is(reloads.results[1], undefined);
  t.is(await readCommonName(listener.address, ca), "second");
  endAnswer();
  const [end] = await once(response, "data");
  t.is(begin + end, "begin end");
  listener.closeAllConnections();
  await listener.close();
});

// Guards against a listener that requests client certificates but accepts any.
test("with an authority only its clients are served, and silent handshakes end", async (t) => {
  const files = await createFiles(t);
  const authority = createTestCertificate("authority");
  const server = createTestCertificate("server", authority);
  await files.writeCert(server);
  await files.writeKey(server);
  await files.writeCa(authority);
  const refusals: string[] = [];
  const listener = await openListener({
    host: "127.0.0.1",
    port: 0,
    tls: files.tls,
  }, {
    limits: { ...LIMITS, headersTimeoutMs: 200 },
    handle: (_request, response) =>
      writeJson(response, { status: 200, body: {} }),
    onRefusal: (reason) => refusals.push(reason),
  });
  const call = async (client: Partial<TestCertificate>) => {
    const { cert, key } = client;
    const request = httpsRequest(`https://${listener.address}/`, {
      ca: authority.cert,
      ...(cert === undefined || key === undefined ? {} : { cert, key }),
      agent: false,
    });
    request.end();
    const [response] = await once(request, "response");
    response.resume();
    return response.statusCode;
  };
  t.is(await call(createTestCertificate("client", authority)), 200);
  await t.throwsAsync(call({}));
  await t.throwsAsync(call(createTestCertificate("stranger")));
  const [host, port] = listener.address.split(":");
  const { connect: connectTcp } = await import("node:net");
  const silent = connectTcp(Number(port), host);
  await once(silent, "close");
  t.deepEqual([...new Set(refusals)], ["tls_handshake"]);
  listener.closeAllConnections();
  await listener.close();
});

function peerSettings(tls: object) {
  const parsed = parseSettings(SETTINGS_EXAMPLE);
  if (!parsed.ok) throw new Error(JSON.stringify(parsed.faults));
  const { settings } = parsed;
  const peers = { host: "127.0.0.1", port: 0, tls };
  return {
    ...settings,
    peers: { ...settings.peers, sharedKey: SHARED_KEY },
    listen: { ...settings.listen, peers },
  } as typeof settings;
}

// Guards against a peers' listener that accepts the shared key without a
// trusted certificate, and against a new authority that needs a restart.
test("peers verify each other's certificates, also after the authority is renewed", async (t) => {
  const files = await createFiles(t);
  const [old, renewed] = ["old", "renewed"]
    .map((name) => createTestCertificate(name)) as [
      TestCertificate,
      TestCertificate,
    ];
  const server = createTestCertificate("server", old);
  await files.writeCert(server);
  await files.writeKey(server);
  await files.writeCa(old);
  const reloads = recordReloads();
  let renewedTls = "";
  const listener = await openPeerListener(peerSettings(files.tls), {
    charge: () => ({ granted: true }),
  }, {
    onReload: reloads.onReload,
    onTls: ({ ca }) => renewedTls = ca,
  });
  const clientOf = (certificate: TestCertificate, trusted: TestCertificate) =>
    createPeerClients({
      vmId: "vm-1",
      sharedKey: SHARED_KEY,
      timeoutMs: 5000,
      tls: { ...certificate, ca: trusted.cert },
    });
  const charge = (clients: ReturnType<typeof clientOf>) =>
    clients.at(listener.address).charge({});
  const member = clientOf(createTestCertificate("member", old), old);
  t.true((await charge(member)).granted);
  const stranger = clientOf(createTestCertificate("stranger"), old);
  await t.throwsAsync(charge(stranger));
  const next = createTestCertificate("next", renewed);
  await t.throwsAsync(
    charge(clientOf(next, old)),
    undefined,
    "not trusted yet",
  );
  await files.writeCa(old, renewed);
  await reloads.next(1);
  t.is(renewedTls, old.cert + renewed.cert);
  t.true((await charge(clientOf(next, old))).granted);
  t.true((await charge(member)).granted, "the open connection stays usable");
  member.setTls({ ...next, ca: old.cert });
  t.true((await charge(member)).granted);
  await listener.close();
});
