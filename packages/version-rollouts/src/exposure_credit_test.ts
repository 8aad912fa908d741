import test from "ava";
import { ExposureCredit } from "./exposure_credit.ts";

const OFFER = { share: 0.03, weight: 1, maxShare: 0.09 };

function offerMany(credit: ExposureCredit, count: number, offer = OFFER) {
  let taken = 0;
  for (let index = 0; index < count; index++) {
    if (credit.offer(offer)) taken += 1;
  }
  return taken;
}

test("the share of a fleet of small daemons is exact, wherever their credits start", (t) => {
  // Guards against daemons that all round up: 77 of them with 70 requests each.
  const daemons = 77;
  let taken = 0;
  for (let index = 0; index < daemons; index++) {
    taken += offerMany(new ExposureCredit((index + 0.5) / daemons), 70);
  }
  t.true(Math.abs(taken - daemons * 70 * OFFER.share) <= 3);
});

test("daemons that start again all the time don't exceed the share on average", (t) => {
  // Guards against a credit of a whole request at each start.
  const starts = 500;
  let taken = 0;
  for (let index = 0; index < starts; index++) {
    taken += offerMany(new ExposureCredit((index + 0.5) / starts), 5);
  }
  t.true(Math.abs(taken - starts * 5 * OFFER.share) <= 3);
});

test("the bound on the share of all requests holds with heavier weights", (t) => {
  const credit = new ExposureCredit(0.5);
  const taken = offerMany(credit, 1_000, { ...OFFER, share: 0.25, weight: 2 });
  t.true(taken <= 91);
  t.true(taken >= 88);
});

test("without a share no request goes to the new version, and none is saved up", (t) => {
  const credit = new ExposureCredit(0.99);
  t.is(offerMany(credit, 1_000, { ...OFFER, share: 0 }), 0);
  t.true(offerMany(credit, 10) <= 2);
});

test("all requests move at a share of 1, and back within the bound after it", (t) => {
  const credit = new ExposureCredit(0.5);
  t.is(offerMany(credit, 100, { ...OFFER, share: 1 }), 100);
  t.is(offerMany(credit, 100), 0);
  t.is(credit.exposed, 100);
  t.is(credit.requests, 200);
});

test("a request that finds no place gives its credit back", (t) => {
  const credit = new ExposureCredit(0.99);
  t.true(credit.offer(OFFER));
  credit.giveBack();
  t.is(credit.exposed, 0);
  t.true(credit.offer({ ...OFFER, maxShare: 1 }));
});
