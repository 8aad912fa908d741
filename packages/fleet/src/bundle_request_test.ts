import test from "ava";
import { brandId, type FailureDomainId } from "@endivebend/types";
import { BundleRequests, bundleSource } from "./bundle_request.ts";

const MISSING = brandId<FailureDomainId>("b");
const OWN_RELAYS = ["10.0.0.1:1", "10.0.0.2:1"];
const THEIRS = ["10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1"];

function sourcesOf(
  address: string,
  known = { ownRelays: OWN_RELAYS, theirs: THEIRS },
) {
  const request = { failureDomain: MISSING, address, isRelay: false };
  return Array.from(
    { length: 6 },
    (_, attempt) => bundleSource(request, attempt, known),
  );
}

const distinct = (values: readonly (string | undefined)[]) =>
  [...new Set(values)].sort();

test("everyone who may have the messages is asked, relays nearby first", (t) => {
  const sources = sourcesOf("10.0.0.9:1");
  t.true(OWN_RELAYS.includes(sources[0]!));
  t.deepEqual(distinct(sources), [...OWN_RELAYS, ...THEIRS]);
});

test("daemons begin with different relays", (t) => {
  const firsts = Array.from(
    { length: 20 },
    (_, index) => sourcesOf(`10.0.0.${index + 9}:1`)[0],
  );
  t.is(new Set(firsts).size, OWN_RELAYS.length);
});

test("without a relay nearby the missing domain is asked", (t) => {
  const sources = sourcesOf("10.0.0.9:1", { ownRelays: [], theirs: THEIRS });
  t.deepEqual(distinct(sources), THEIRS);
  const nobody = sourcesOf("10.0.0.9:1", { ownRelays: [], theirs: [] });
  t.true(nobody.every((source) => source === undefined));
});

test("a domain that is gone is asked for less and less often", (t) => {
  const requests = new BundleRequests();
  const askedAtMs: number[] = [];
  for (let nowMs = 0; nowMs <= 8_000; nowMs += 200) {
    if (requests.due([MISSING], nowMs).length > 0) askedAtMs.push(nowMs);
  }
  t.deepEqual(askedAtMs, [
    0,
    400,
    800,
    1_200,
    1_600,
    2_000,
    4_000,
    6_000,
    8_000,
  ]);
});

test("a domain that was heard in between is asked for at once", (t) => {
  const requests = new BundleRequests();
  t.is(requests.due([MISSING], 0).length, 1);
  t.is(requests.due([], 200).length, 0);
  t.deepEqual(requests.due([MISSING], 300), [
    { failureDomain: MISSING, attempt: 0 },
  ]);
});
