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
