import test from "ava";
import { createHash } from "node:crypto";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseSettings } from "@endivebend/settings";
import { startPlatform } from "@endivebend/stand-ins";
import { Agent, request } from "undici";
import { createTestCertificate } from "../http/testing_certificates.ts";
import { type Daemon, startDaemon } from "./daemon.ts";

const OPERATOR_KEY = "operator-key";
const SHARED_KEY = "0123456789abcdef0123456789abcdef";

async function writeTlsFiles(directory: string) {
  const authority = createTestCertificate("authority");
  const { cert, key } = createTestCertificate("daemon", authority);
  const files = {
    certFile: join(directory, "cert.pem"),
    keyFile: join(directory, "key.pem"),
    caFile: join(directory, "ca.pem"),
  };
  await writeFile(files.certFile, cert);
  await writeFile(files.keyFile, key);
  await writeFile(files.caFile, authority.cert);
  return { files, authority };
}

// Guards against a listener that ignores its TLS settings, and against daemons
// that cannot call each other when peers use mutual TLS.
test("daemons serve callers, operators and each other over TLS", async (t) => {
  const directory = await mkdtemp(join(tmpdir(), "endivebend-tls-"));
  const { files, authority } = await writeTlsFiles(directory);
  const { certFile, keyFile } = files;
  const platform = await startPlatform({});
  const listener = { host: "127.0.0.1", port: 0 };
  const sha256 = createHash("sha256").update(OPERATOR_KEY).digest("hex");
  const daemons: Daemon[] = [];
  for (const vmId of ["vm-1", "vm-2"]) {
    const parsed = parseSettings(JSON.stringify({
      vmId,
      failureDomain: "a",
      fleet: { failureDomains: ["a"], region: "qld-east" },
      listen: {
        callers: { ...listener, tls: { certFile, keyFile } },
        operators: { ...listener, tls: files },
        peers: { ...listener, tls: files },
      },
      platform: { address: platform.address, pollWaitMs: 500 },
      peers: {
        sharedKey: SHARED_KEY,
        exchangeIntervalMs: 50,
        addresses: daemons.map(({ addresses }) => ({
          vmId: "vm-1",
          address: addresses.peers,
          failureDomain: "a",
        })),
      },
      operators: { keys: [{ name: "test", sha256 }] },
      log: { level: "silent" },
      limits: { drainGraceMs: 0, loanLeaseMs: 100 },
    }));
    if (!parsed.ok) throw new Error(JSON.stringify(parsed.faults));
    daemons.push(await startDaemon(parsed.settings));
  }
  const ca = authority.cert;
  const caller = new Agent({ connect: { ca } });
  const [{ addresses }] = daemons as [Daemon];
  const health = await request(`https://${addresses.callers}/healthz`, {
    dispatcher: caller,
  });
  t.is(health.statusCode, 200);
  await health.body.dump();
  await t.throwsAsync(fetch(`http://${addresses.callers}/healthz`));
  const status = `https://${addresses.operators}/operator/v1/status`;
  const headers = { authorization: `Bearer ${OPERATOR_KEY}` };
  await t.throwsAsync(request(status, { dispatcher: caller, headers }));
  const { cert, key } = createTestCertificate("operator", authority);
  const operator = new Agent({ connect: { ca, cert, key } });
  let peers: readonly string[] = [];
  while (!peers.includes("vm-2")) {
    const answer = await request(status, { dispatcher: operator, headers });
    // deno-lint-ignore no-explicit-any
    peers = (await answer.body.json() as any).peers;
  }
  t.true(peers.includes("vm-1"));
  await Promise.all([caller.close(), operator.close()]);
  await Promise.all(daemons.map((daemon) => daemon.drain()));
  await platform.close();
  await rm(directory, { recursive: true });
});
