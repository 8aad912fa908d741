import test from "ava";
import {
  combineSpeeds,
  observeSpeed,
  speedAt,
  type SpeedEstimate,
  UNMEASURED,
} from "./speed_estimate.ts";

const AT = { expectedSpeed: 1, nowMs: 1_000 };

function observed(...speeds: readonly number[]): SpeedEstimate {
  return speeds.reduce(
    (estimate, speed) =>
      observeSpeed(estimate, { speed, weight: 1, atMs: 1_000 }),
    UNMEASURED,
  );
}

test("a server that was not measured has the expected speed", (t) => {
  t.is(speedAt(UNMEASURED, AT), 1);
  t.is(speedAt(UNMEASURED, { ...AT, expectedSpeed: 0.6 }), 0.6);
});

// Without this an engine of speed 0.6 would be taken as usual for a minute.
test("two observations bring the speed near the real one", (t) => {
  const fast = speedAt(observed(1.6, 1.6), AT);
  t.true(fast > 1.4 && fast <= 1.6, `${fast}`);
  const slow = speedAt(observed(0.6, 0.6), AT);
  t.true(slow < 0.7 && slow >= 0.6, `${slow}`);
});

// An answer that waited for a preempted prompt looks like a tenth of the speed.
test("one outlier moves a known server by little", (t) => {
  const known = observed(1.6, 1.6, 1.6, 1.6);
  const after = observeSpeed(known, { speed: 0.16, weight: 1, atMs: 1_000 });
  const change = speedAt(after, AT) / speedAt(known, AT);
  t.true(change > 0.9, `${change}`);
});

test("a speed that has really changed is learned within some observations", (t) => {
  let estimate = observed(1.6, 1.6, 1.6, 1.6, 1.6, 1.6);
  for (let count = 0; count < 30; count++) {
    estimate = observeSpeed(estimate, { speed: 0.6, weight: 1, atMs: 2_000 });
  }
  t.true(speedAt(estimate, { ...AT, nowMs: 2_000 }) < 0.75);
});

test("an estimate that is not renewed ages to the expected speed", (t) => {
  const speed = speedAt(observed(1.6, 1.6), { ...AT, nowMs: 200_000 });
  t.true(speed < 1.05, `${speed}`);
});

test("a peer that tells nonsense does not move what several others tell", (t) => {
  const peer = (percent: number) => ({ percent, atMs: 1_000 });
  const sound = [peer(150), peer(165), peer(158)];
  const of = (peers: readonly ReturnType<typeof peer>[]) =>
    speedAt(combineSpeeds(UNMEASURED, peers, 1_000), AT);
  const change = of([...sound, peer(1)]) / of(sound);
  t.true(change > 0.9 && change < 1.1, `${change}`);
  t.is(combineSpeeds(observed(1.6), [], 1_000).logSpeed, Math.log(1.6));
});
