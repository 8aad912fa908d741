import type { SoftwareVersion } from "@endivebend/request-path";
import { brandId, type ServiceName } from "@endivebend/types";
import test from "ava";
import { VersionWatch } from "./version_watch.ts";

const SERVICE = brandId<ServiceName>("engines");
const V1 = brandId<SoftwareVersion>("v1");
const V2 = brandId<SoftwareVersion>("v2");
const LIFE_MS = 9_000;

/** Lets the list be read each second, with servers of the versions. */
function list(
  watch: VersionWatch,
  time: { readonly fromMs: number; readonly untilMs: number },
  ...versions: (SoftwareVersion | undefined)[]
): void {
  for (let nowMs = time.fromMs; nowMs <= time.untilMs; nowMs += 1_000) {
    watch.noteCurrent(nowMs);
    for (const version of versions) {
      watch.noteListed(SERVICE, { version, nowMs });
    }
  }
}

test("a version is alone only after the life of a stream", (t) => {
  const watch = new VersionWatch();
  list(watch, { fromMs: 0, untilMs: 8_000 }, V1);
  t.is(
    watch.soleVersion(SERVICE, { nowMs: 8_999, lifeMs: LIFE_MS }),
    undefined,
  );
  t.is(watch.soleSeen(SERVICE, { nowMs: 8_999, lifeMs: LIFE_MS }), V1);
  list(watch, { fromMs: 9_000, untilMs: 9_000 }, V1);
  t.is(watch.soleVersion(SERVICE, { nowMs: 9_000, lifeMs: LIFE_MS }), V1);
});

test("streams of a version that has left may live on", (t) => {
  const watch = new VersionWatch();
  list(watch, { fromMs: 0, untilMs: 20_000 }, V1);
  list(watch, { fromMs: 20_500, untilMs: 29_500 }, V2);
  t.is(
    watch.soleVersion(SERVICE, { nowMs: 29_000, lifeMs: LIFE_MS }),
    undefined,
  );
  t.deepEqual(watch.versions(SERVICE, { nowMs: 29_000, lifeMs: LIFE_MS }), [
    V1,
    V2,
  ]);
  t.is(watch.soleVersion(SERVICE, { nowMs: 29_500, lifeMs: LIFE_MS }), V2);
});

test("servers whose version is unknown are never alone", (t) => {
  const watch = new VersionWatch();
  list(watch, { fromMs: 0, untilMs: 20_000 }, undefined);
  const time = { nowMs: 20_000, lifeMs: LIFE_MS };
  t.is(watch.soleVersion(SERVICE, time), undefined);
  t.is(watch.soleSeen(SERVICE, time), undefined);
});

test("without news a version may have come and gone unseen", (t) => {
  const watch = new VersionWatch();
  list(watch, { fromMs: 0, untilMs: 20_000 }, V1);
  const atMs = (nowMs: number) => ({ nowMs, lifeMs: LIFE_MS });
  t.is(watch.soleVersion(SERVICE, atMs(24_000)), V1);
  t.is(watch.ageMs(24_000), 4_000);
  list(watch, { fromMs: 25_000, untilMs: 33_000 }, V1);
  t.is(
    watch.soleVersion(SERVICE, { nowMs: 33_999, lifeMs: LIFE_MS }),
    undefined,
  );
  list(watch, { fromMs: 34_000, untilMs: 34_000 }, V1);
  t.is(watch.soleVersion(SERVICE, { nowMs: 34_000, lifeMs: LIFE_MS }), V1);
});

test("a pause of the process begins the watch anew", (t) => {
  const watch = new VersionWatch();
  list(watch, { fromMs: 0, untilMs: 20_000 }, V1);
  watch.restart(20_500);
  list(watch, { fromMs: 21_000, untilMs: 21_000 }, V1);
  t.is(watch.sinceMs, 21_000);
  const time = { nowMs: 21_000, lifeMs: LIFE_MS };
  t.is(watch.soleVersion(SERVICE, time), undefined);
});

test("a list tells of the time until its read began, and after a pause of none", (t) => {
  const watch = new VersionWatch();
  list(watch, { fromMs: 0, untilMs: 5_000 }, V1);
  t.true(watch.wasCurrentAt(5_000));
  t.false(watch.wasCurrentAt(5_001));
  watch.restart(5_001);
  t.false(watch.wasCurrentAt(5_000));
  watch.noteCurrent(5_001);
  t.false(watch.wasCurrentAt(5_001), "it was read before the pause ended");
  watch.noteCurrent(5_002);
  t.true(watch.wasCurrentAt(5_002));
});
