import test from "ava";
import { TestFleet } from "./testing_fleet.ts";

/** Time within which a change must be in force; the users' bound. */
const CONFIG_MS = 2_000;
const DAEMONS = 8;

function revisions(fleet: TestFleet): (number | undefined)[] {
  return Array.from(
    { length: DAEMONS },
    (_, index) => fleet.revisionAt(index),
  );
}

// The store gives out the offsets of lost records again.
test("a change is in force at every daemon after the store came back from a copy", async (t) => {
  const fleet = new TestFleet({ daemons: DAEMONS, engines: 4 });
  const { time, store } = fleet;
  await time.advance(2_000);
  for (const revision of [5, 9, 12]) {
    fleet.configure(revision);
    await time.advance(3_000);
  }
  t.deepEqual(revisions(fleet), Array(DAEMONS).fill(12));
  store.restore({ copyAgeMs: 9_000, awayMs: 2_000 });
  await time.advance(2_000 + CONFIG_MS);
  t.deepEqual(revisions(fleet), Array(DAEMONS).fill(12));
  fleet.configure(15);
  await time.advance(CONFIG_MS);
  t.deepEqual(revisions(fleet), Array(DAEMONS).fill(15));
  const listings = fleet.steps.filter(({ step, topic }) =>
    step === "records_read" && topic === "operator"
  );
  t.true(listings.length <= 8 * DAEMONS, `${listings.length} listings`);
});
