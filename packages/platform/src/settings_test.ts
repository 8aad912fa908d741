import test from "ava";
import { parseSettings } from "./settings.ts";

const BOUNDS = {
  grace_s: 8,
  lease_ms: 3_000,
  version_ms: 8_000,
  quota_overshoot: 0.1,
  quota_slack: 8,
  quota_window_s: 8,
  budget_window_s: 10,
  retry_budget_ratio: 0.2,
  retry_budget_slack: 56,
};

function settingsWith(bounds: Record<string, unknown>) {
  return parseSettings(JSON.stringify({
    node: "vm-1",
    ip: "10.0.0.1",
    zone: "a",
    listen: { front: "10.0.0.1:80", readiness: "10.0.0.1:81" },
    port_range: [7_600],
    provider: { address: "10.0.0.9:9" },
    limits: { memory_mb: 178 },
    bounds: { ...BOUNDS, ...bounds },
  }));
}

test("the bounds of version rollouts are read", (t) => {
  const { rolloutBounds } = settingsWith({
    expose_share: 0.1,
    expose_slack: 50,
    rollback_ms: 5_000,
  });
  t.deepEqual(rolloutBounds, {
    exposeShare: 0.1,
    exposeSlack: 50,
    rollbackMs: 5_000,
  });
});

test("without one of the bounds versions are not rolled out", (t) => {
  t.is(settingsWith({}).rolloutBounds, undefined);
  const partly = settingsWith({ expose_share: 0.1, rollback_ms: 5_000 });
  t.is(partly.rolloutBounds, undefined);
});

test("a bound of another type is named", (t) => {
  const bounds = { expose_share: "10%", expose_slack: 50, rollback_ms: 5_000 };
  t.throws(() => settingsWith(bounds), { message: /"expose_share"/ });
});
