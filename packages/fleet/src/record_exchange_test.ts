import { connect } from "node:net";
import test from "ava";
import { logPosition, RecordExchange, RecordTable } from "./mod.ts";

function open(ip: string, port: number, table: RecordTable) {
  const failures: string[] = [];
  const exchange = new RecordExchange({
    ip,
    port,
    tables: new Map([["operator", table]]),
    failed: (reason) => failures.push(reason),
  });
  return { exchange, failures };
}

test("a pull of all records says whether it brought them", async (t) => {
  const port = 20_000 + process.pid % 20_000;
  const [theirs, own] = [new RecordTable(() => {}), new RecordTable(() => {})];
  const value = Buffer.from("x");
  theirs.apply([{ key: "config", value, position: logPosition(1, 4) }]);
  own.apply([{ key: "other", value, position: logPosition(2, 0) }]);
  const peer = open("127.0.0.51", port, theirs);
  const { exchange, failures } = open("127.0.0.52", port, own);
  // Fails until the peer listens.
  while (!await exchange.pull("operator", `127.0.0.51:${port}`));
  failures.length = 0;
  t.is(own.since(-1).length, 1, "nothing is newer");
  const both = [1, 2].map(() =>
    exchange.pull("operator", `127.0.0.51:${port}`, { all: true })
  );
  t.deepEqual(await Promise.all(both), [true, false]);
  t.is(own.since(-1).length, 2);
  peer.exchange.close();
  t.false(await exchange.pull("operator", "127.0.0.51:1", { all: true }));
  t.is(failures.length, 1);
  exchange.close();
});

test("a pull tells of removals that the peer has only seen in a listing", async (t) => {
  const port = 20_000 + process.pid % 20_000;
  const [theirs, own] = [new RecordTable(() => {}), new RecordTable(() => {})];
  const value = Buffer.from("x");
  own.apply([{ key: "gone", value, position: logPosition(1, 4) }]);
  const kept = { key: "kept", value, position: logPosition(1, 2) };
  theirs.apply([kept], {
    keys: new Set(["kept"]),
    isComplete: false,
    upTo: logPosition(1, 6),
  });
  const peer = open("127.0.0.54", port, theirs);
  const { exchange } = open("127.0.0.55", port, own);
  while (!await exchange.pull("operator", `127.0.0.54:${port}`));
  const left = own.since(-1).filter((record) => record.value !== undefined);
  t.deepEqual(left.map(({ key }) => key), ["kept"]);
  t.is(own.newest, logPosition(1, 5));
  peer.exchange.close();
  exchange.close();
});

// Guards against a target that `new URL` rejects, which ended the process.
test("odd targets are refused, and the exchange goes on", async (t) => {
  const port = 20_000 + process.pid % 20_000;
  const table = new RecordTable(() => {});
  const { exchange } = open("127.0.0.53", port, table);
  const ask = (target: string) =>
    new Promise<string>((resolve) => {
      const socket = connect(port, "127.0.0.53");
      let received = "";
      socket.on("data", (chunk) => received += chunk);
      socket.on("close", () => resolve(received));
      socket.on("error", () => {});
      socket.end(`GET ${target} HTTP/1.1\r\nHost: peer\r\n\r\n`);
    });
  while (!(await ask("/operator")).startsWith("HTTP/1.1 200 "));
  const targets = ["//", "//:0", "///", "/%", "http://[", "/operator?since=x"];
  for (const target of targets) {
    t.regex(await ask(target), /^HTTP\/1\.1 (?:200|400|404) /, target);
  }
  t.regex(await ask("/operator"), /^HTTP\/1\.1 200 /);
  exchange.close();
});
