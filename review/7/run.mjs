/**
 * The two servers of a service are restarted in place under their ids, one a
 * second after the other, as planned work. One of three machines of the system
 * stands still meanwhile.
 */

import { startAppServer } from "../stand_ins_2/app_server.mjs";
import { BOUNDS, NETWORK, startDaemon } from "../stand_ins_2/daemon.mjs";
import {
  HAS_TROUBLE,
  manifest,
  nowMs,
  record,
  run,
  send,
  sleep,
} from "../stand_ins_2/play.mjs";
import { startStore } from "../stand_ins_2/store.mjs";

const DAEMONS = 3;
const REQUEST_INTERVAL_MS = 100;
const WORK_MS = 2_200;
/** A server that leaves serves for drain_ms and a little longer. */
const SERVES_ON_MS = BOUNDS.drain_ms + 400;
const STARTS_AGAIN_AFTER_MS = 300;
const SECOND_AFTER_MS = 1_000;
const FROZEN_FROM_MS = 1_100;
const FROZEN_FOR_MS = 3_500;
/** What was struck is calm again for much longer than contact_ms by then. */
const STEADY_AFTER_MS = 10_000;
const WATCHED_MS = 10_000;

await run(async () => {
  const store = await startStore(`${NETWORK}.250`);
  const first = manifest({ version: 1, type: "safe", keys: ["key"] });
  store.put("keyed.op", "config", first);
  const startServer = (service, index) =>
    startAppServer({
      ip: `${NETWORK}.${200 + index}`,
      id: `i-${index}`,
      service,
      store,
      workMs: () => WORK_MS,
      ran: () => {},
    });
  await startServer("belfry", 1);
  await startServer("belfry", 2);
  const restarted = [
    await startServer("archive", 3),
    await startServer("archive", 4),
  ];
  const ips = Array.from(
    { length: DAEMONS },
    (_, index) => `${NETWORK}.${index + 1}`,
  );
  const daemons = ips.map((ip, index) =>
    startDaemon({
      name: `front-${index + 1}`,
      ip,
      seeds: ips,
      storeAddress: store.address,
    })
  );
  await Promise.all(daemons.map((daemon) => daemon.whenReady()));
  record("all daemons are ready");
  const [route] = first.routes;
  store.put("keyed.op", "config", {
    ...first,
    version: 2,
    routes: [
      route,
      { ...route, name: "r2", path_prefix: "/archive/", service: "archive" },
    ],
    services: [...first.services, { name: "archive", max_conns: 200 }],
  });
  record("version 2 adds a route to a service of its own");
  await sleep(BOUNDS.config_ms + 1_000);

  const sent = [];
  const ask = (daemon, path) => {
    const id = `${path.split("/")[1]}-${sent.length}`;
    const entry = { id, path, daemon: daemon.name, atMs: nowMs() };
    sent.push(entry);
    const options = { id, path, host: "bells.example", key: "key" };
    void send(daemon, { ...options, timeMs: 8_000 }).then((status) => {
      entry.status = status;
    });
  };
  const timer = setInterval(() => {
    for (const daemon of daemons) {
      ask(daemon, "/toll/1");
      ask(daemon, "/archive/1");
    }
  }, REQUEST_INTERVAL_MS);
  await sleep(3_000);

  const restart = async (server) => {
    server.leave();
    record(`${server.id} reports that it leaves`);
    await sleep(SERVES_ON_MS);
    await server.exit();
    record(`${server.id} has ended`);
    await sleep(STARTS_AGAIN_AFTER_MS);
    await server.startAgain();
    record(`${server.id} has started again under its id`);
  };
  const restarts = [
    restart(restarted[0]),
    sleep(SECOND_AFTER_MS).then(() => restart(restarted[1])),
  ];
  await sleep(FROZEN_FROM_MS);
  if (HAS_TROUBLE) {
    daemons[0].signal("SIGSTOP");
    record(`${daemons[0].name} stands still`);
  }
  await sleep(FROZEN_FOR_MS);
  if (HAS_TROUBLE) {
    daemons[0].signal("SIGCONT");
    record(`${daemons[0].name} goes on`);
  }
  await Promise.all(restarts);
  await sleep(STEADY_AFTER_MS);
  const steadyFromMs = nowMs();
  record("steady state: all servers are ready, all machines are in touch");
  await sleep(WATCHED_MS);
  clearInterval(timer);
  const steadyUntilMs = nowMs();
  await sleep(9_000);

  const shareOf = (path) => {
    const judged = sent.filter((entry) =>
      entry.path === path && entry.atMs >= steadyFromMs &&
      entry.atMs < steadyUntilMs
    );
    const counts = {};
    for (const { status } of judged) {
      counts[status] = (counts[status] ?? 0) + 1;
    }
    record(`${path}: ${JSON.stringify(counts)} of ${judged.length}`);
    return { count: judged.length, share: (counts[200] ?? 0) / judged.length };
  };
  for (const { id, daemon, status, atMs } of sent) {
    record(`${id} sent to ${daemon}: ${status}`, atMs);
  }
  const firstRoute = shareOf("/toll/1");
  const laterRoute = shareOf("/archive/1");
  if (firstRoute.share < 0.5) throw new Error("the first route is not served");
  return laterRoute.count >= 20 && laterRoute.share < firstRoute.share / 4;
});
