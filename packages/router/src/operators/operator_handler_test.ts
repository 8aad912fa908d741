import test from "ava";
import { createHash } from "node:crypto";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";
import type { PeerClients } from "@endivebend/peers";
import { brandId, type RequestId, type Sha256Digest } from "@endivebend/types";
import {
  fakeIdentity,
  FakeLog,
  fakeMembership,
  INITIAL_RECORDS,
  silentLogger,
  startTask,
} from "../configuration/test_support.ts";
import { createOperatorHandler } from "./operator_handler.ts";

const OPERATOR_KEY = "an-operator-key";
const sha256 = (text: string) =>
  brandId<Sha256Digest>(createHash("sha256").update(text).digest("hex"));

/** Peers of which vm-2 has records on request r-7 and vm-3 does not answer. */
const peers = {
  at: (address: string) => ({
    explain: ({ requestId }: { readonly requestId: string }) => {
      if (address.endsWith(":3")) return Promise.reject(new Error("silent"));
      const record = [{ atMs: 1, step: "charge" }];
      const recordJson = requestId === "r-7" ? JSON.stringify(record) : "";
      return Promise.resolve({ recordJson });
    },
  }),
} as unknown as PeerClients;

async function startOperatorServer() {
  const log = new FakeLog();
  const { task, stream } = startTask(log, "vm-1");
  log.records.push(...INITIAL_RECORDS);
  log.deliver();
  const membership = fakeMembership(["vm-1", "vm-2", "vm-3"]);
  const vms = membership.entryVms().map((vm, index) => ({
    ...vm,
    address: `127.0.0.1:${index + 1}`,
  }));
  const drains: string[] = [];
  const server = createServer(createOperatorHandler({
    configuration: task,
    clock: log.time,
    logger: silentLogger,
    metrics: { increment() {}, gauge() {}, timing() {} },
    changeTimeoutMs: 1_000,
    identity: fakeIdentity("vm-1"),
    streams: [stream],
    membership: { ...membership, entryVms: () => vms },
    engines: () => [],
    orders: {
      issue: () => Promise.resolve({ kind: "superseded" }),
      openOrders: () => [],
    },
    sections: { holders: () => ["group-1"] },
    keys: [{ name: "ada", sha256: sha256(OPERATOR_KEY) }],
    explainer: {
      record() {},
      explain: (id: RequestId) =>
        id === "r-7" ? [{ atMs: 2, step: "route" }] : undefined,
    },
    peers,
    drainSelf: () => drains.push("vm-1"),
  }));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  async function call(method: "GET" | "POST", path: string, options: {
    readonly body?: unknown;
    readonly key?: string;
  } = {}) {
    const response = await request(`http://127.0.0.1:${port}${path}`, {
      method,
      headers: { authorization: `Bearer ${options.key ?? OPERATOR_KEY}` },
      ...(options.body === undefined
        ? {}
        : { body: JSON.stringify(options.body) }),
    });
    // deno-lint-ignore no-explicit-any
    const body = await response.body.json() as any;
    return { status: response.statusCode, body };
  }
  return { log, task, call, drains, close: () => server.close() };
}

// Guards against an operators' API without authentication.
test("a request without a known operator key is refused", async (t) => {
  const { call, close, log } = await startOperatorServer();
  t.teardown(close);
  for (const path of ["/operator/v1/status", "/operator/v1/nowhere"]) {
    const { status, body } = await call("GET", path, { key: "another" });
    t.is(status, 401);
    t.is(body.error.code, "operator_unauthorized");
  }
  const refused = await call("POST", "/operator/v1/changes", {
    key: "another",
    body: INITIAL_RECORDS[0],
  });
  t.is(refused.status, 401);
  t.is(log.records.length, 3);
});

// Guards against a secret that is written to the log or shown more than once.
test("a granted key is shown once, and only its digest is in the log", async (t) => {
  const { call, close, log, task } = await startOperatorServer();
  t.teardown(close);
  const body = { recordId: "g-1", kind: "key_granted", team: "st-mary" };
  const granted = await call("POST", "/operator/v1/changes", { body });
  t.like(granted, { status: 200, body: { verdict: "accepted", offset: 3 } });
  const { secret, keyId } = granted.body;
  t.is(task.checkKey(sha256(secret)).kind, "valid");
  t.false(JSON.stringify(log.records).includes(secret));
  const again = await call("POST", "/operator/v1/changes", { body });
  t.like(again, { status: 200, body: { verdict: "accepted" } });
  t.is(again.body.secret, undefined);
  t.is(log.records.length, 4);
  const { body: list } = await call("GET", "/operator/v1/keys?team=st-mary");
  t.is(list.keys[1].keyId, keyId);
  t.false(JSON.stringify(list).includes(secret));
});

// Guards against a grant whose answer is lost, so that nobody has its key.
test("a grant with a lost answer returns the same key on a retry", async (t) => {
  const { call, close, log, task } = await startOperatorServer();
  t.teardown(close);
  const body = { recordId: "g-1", kind: "key_granted", team: "st-mary" };
  log.mode = "answers_lost";
  const first = await call("POST", "/operator/v1/changes", { body });
  t.like(first, { status: 202, body: { verdict: "unknown" } });
  log.mode = "up";
  log.deliver();
  const again = await call("POST", "/operator/v1/changes", { body });
  t.is(again.body.secret, first.body.secret);
  t.is(task.checkKey(sha256(again.body.secret)).kind, "valid");
});

// Guards against a stale amendment that is reported as accepted, and against
// refusals that do not say what to correct.
test("refusals name the field, the remedy and the current revision", async (t) => {
  const { call, close, log } = await startOperatorServer();
  t.teardown(close);
  const amendment = { ...INITIAL_RECORDS[0], kind: "template_amended" };
  const stale = await call("POST", "/operator/v1/changes", {
    body: { ...amendment, recordId: "a-1", amendsRevision: 4 },
  });
  t.like(stale, {
    status: 409,
    body: { verdict: "refused", field: "amendsRevision", currentRevision: 1 },
  });
  t.truthy(stale.body.remedy);
  const malformed = await call("POST", "/operator/v1/changes", {
    body: { ...amendment, recordId: "a-2" },
  });
  t.like(malformed, {
    status: 422,
    body: { error: { field: "amendsRevision" } },
  });
  t.is(log.records.length, 4, "a malformed change is not appended");
  const large = await call("POST", "/operator/v1/changes", {
    body: { kind: "x".repeat(300_000) },
  });
  t.is(large.status, 413);
});

// Guards against a withdrawal that takes effect only once the log answers, and
// against a change that is reported as accepted while the log is unavailable.
test("without the log a withdrawal blocks, a drain of the VM starts, others are refused", async (t) => {
  const { call, close, log, task, drains } = await startOperatorServer();
  t.teardown(close);
  log.mode = "down";
  const keyId = `key-${"1".repeat(24)}`;
  const withdrawn = await call("POST", "/operator/v1/changes", {
    body: { kind: "key_withdrawn", keyId },
  });
  t.like(withdrawn, {
    status: 202,
    body: { verdict: "unknown", blocked: true },
  });
  t.is(task.checkKey(brandId<Sha256Digest>("1".repeat(64))).kind, "refused");
  const created = await call("POST", "/operator/v1/changes", {
    body: { kind: "team_created", team: "st-anne", template: "chime" },
  });
  t.like(created, {
    status: 503,
    body: { error: { code: "platform_unavailable", ran: "not_run" } },
  });
  const own = await call("POST", "/operator/v1/drain", {
    body: { vmId: "vm-1" },
  });
  const other = await call("POST", "/operator/v1/drain", {
    body: { vmId: "vm-2" },
  });
  t.deepEqual([own.status, other.status, drains], [202, 503, ["vm-1"]]);
});

// Guards against an explanation that silently leaves out other VMs.
test("an explanation contains the records of peers and names silent ones", async (t) => {
  const { call, close } = await startOperatorServer();
  t.teardown(close);
  const { body } = await call("GET", "/operator/v1/explain/r-7");
  t.deepEqual(
    body.vms.map(({ vmId }: { readonly vmId: string }) => vmId),
    ["vm-1", "vm-2"],
  );
  t.deepEqual(body.silentVms, ["vm-3"]);
});

// Guards against lists of unbounded size, and against a status that does not
// show how long the platform has been silent.
test("lists are paginated, and the status shows offsets and silence", async (t) => {
  const { call, close, log } = await startOperatorServer();
  t.teardown(close);
  for (const team of ["a", "b", "c"]) {
    const body = { kind: "team_created", team, template: "chime" };
    t.is((await call("POST", "/operator/v1/changes", { body })).status, 200);
  }
  const first = await call("GET", "/operator/v1/teams?limit=3");
  t.is(first.body.next, "c");
  const second = await call("GET", "/operator/v1/teams?limit=3&after=c");
  t.is(second.body.teams[0].team, "st-mary");
  t.is(second.body.next, undefined);
  t.is((await call("GET", "/operator/v1/teams/none")).status, 404);
  log.mode = "down";
  const { body: status } = await call("GET", "/operator/v1/status");
  t.like(status, {
    vmId: "vm-1",
    platformSilenceMs: 60_000,
    holders: ["group-1"],
  });
  t.like(status.configuration, { teams: 4, appliedOffset: 5, ready: true });
  t.is(status.streams.configuration.nextOffset, 6);
});
