import test from "ava";
import { parseSettings, SETTINGS_EXAMPLE } from "./mod.ts";

function faultsOf(text: string) {
  const result = parseSettings(text);
  return result.ok ? [] : result.faults;
}

// Guards against an example that the daemon would refuse.
test("the example passes the check and gets its defaults", (t) => {
  const result = parseSettings(SETTINGS_EXAMPLE);
  t.true(result.ok, JSON.stringify(faultsOf(SETTINGS_EXAMPLE)));
  if (!result.ok) return;
  t.is(result.settings.limits.loanLeaseMs, 1000);
  t.is(result.settings.metrics, undefined);
});

// Guards against a check that stops at the first fault.
test("every fault is reported with its line and field, cross-field checks included", (t) => {
  const text = SETTINGS_EXAMPLE
    .replace('"vmId": "entry-1"', '"vmId": 7')
    .replace('"failureDomain": "qld-east-a"', '"failureDomain": "qld-east-x"')
    .replace('"region": "qld-east"', '"regoin": "qld-east"')
    .replace('"host": "127.0.0.1", "port": 7001', '"host": "localhost"')
    .replace('"port": 7003', '"port": 7002');
  const faults = faultsOf(text);
  t.deepEqual(
    faults.map(({ line, field }) => `${line} ${field}`).toSorted(),
    [
      "8 fleet.regoin",
      "12 listen.callers.host",
      "12 listen.callers.port",
      "14 listen.peers.port",
      "3 vmId",
      "4 failureDomain",
      "5 fleet.region",
    ].toSorted(),
  );
  t.true(faults.every(({ remedy }) => remedy.length > 0));
});

// Guards against a syntax fault that is reported without its position.
test("a syntax fault is reported with its line", (t) => {
  const [fault] = faultsOf('{\n  "vmId": entry\n}');
  t.is(fault?.line, 2);
});

// Guards against a repeated field that silently replaces the first value.
test("a repeated field is a fault", (t) => {
  const text = SETTINGS_EXAMPLE.replace(
    '"log": { "level": "info" }',
    '"log": { "level": "info", "level": "warn" }',
  );
  t.deepEqual(faultsOf(text).map(({ field }) => field), ["log.level"]);
});

// Guards against a shared key that is short enough to be guessed, and against a
// listener that other VMs cannot reach.
test("a short shared key and a wildcard host without advertise are faults", (t) => {
  const text = SETTINGS_EXAMPLE
    .replace("replace-this-with-32-or-more-random-characters", "short")
    .replace('"127.0.0.1", "port": 7003', '"0.0.0.0", "port": 7003');
  t.deepEqual(faultsOf(text).map(({ field }) => field), [
    "listen.peers.host",
    "peers.sharedKey",
  ]);
});

// Guards against settings with which the HTTP server does not start, and
// against timeouts above the longest timer delay.
test("contradictory timeouts and those above the timer limit are faults", (t) => {
  const text = SETTINGS_EXAMPLE
    .replace('"headersTimeoutMs": 10000', '"headersTimeoutMs": 400000')
    .replace('"queueWaitMs": 10000', '"queueWaitMs": 3000000000');
  t.deepEqual(faultsOf(text).map(({ field }) => field), [
    "limits.headersTimeoutMs",
    "limits.queueWaitMs",
  ]);
});
