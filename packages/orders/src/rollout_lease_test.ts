import test from "ava";
import { brandId, type VmId } from "@endivebend/types";
import type { LeaseLogState, LeaseRecord } from "./lease_plan.ts";
import { RolloutLease } from "./rollout_lease.ts";
import { LeaseRecords } from "./testing_lease_log.ts";

const LEASE_MS = 3_000;
const TICK_MS = 50;
const FIRST = "vm-1";
const OTHER = "vm-2";

function renewalOf(holder: string): LeaseRecord {
  return {
    holder: brandId<VmId>(holder),
    incarnation: "1",
    kind: "renewal",
    permitsOrders: true,
    waitMs: 0,
  };
}

/** Leases of several daemons on one log, in virtual time. */
class LeaseHarness {
  nowMs = 10_000;
  readonly records = new LeaseRecords();
  /** Replaces the log's answer to the next append. */
  nextAppend: "restored" | undefined;
  /** Replaces what the log has. */
  state: LeaseLogState | undefined;

  lease(
    name: string,
    { incarnation = "1", clockAheadMs = (): number => 0 } = {},
  ): RolloutLease {
    return new RolloutLease({
      self: brandId<VmId>(name),
      incarnation,
      clock: {
        wallMs: () => this.nowMs,
        elapsedMs: () => this.nowMs + clockAheadMs(),
        steadyMs: () => this.nowMs,
      },
      log: {
        read: () => Promise.resolve(this.state ?? this.records.read()),
        append: (record, end) => {
          if (this.nextAppend === "restored") {
            this.nextAppend = undefined;
            return Promise.resolve({ kind: "restored" });
          }
          return Promise.resolve(
            this.records.append(record, this.state?.end ?? end),
          );
        },
      },
      leaseMs: LEASE_MS,
      candidates: () => [],
      rank: (members) => [...members].sort(),
      reachesStore: () => true,
      reachesEngines: () => true,
      logDecision() {},
    });
  }

  async run(
    lease: RolloutLease,
    durationMs: number,
    needsOrders = false,
  ): Promise<void> {
    const untilMs = this.nowMs + durationMs;
    for (; this.nowMs < untilMs; this.nowMs += TICK_MS) {
      await lease.advance({ needsOrders });
    }
  }

  /** A lease under which an order has just been sent. */
  async afterOrder(): Promise<RolloutLease> {
    const lease = this.lease(FIRST);
    await this.run(lease, 1_000, true);
    lease.noteOrder();
    return lease;
  }

  /** The time at which the daemon may send its first order. */
  async firstOrderAtMs(lease: RolloutLease): Promise<number> {
    for (let tick = 0; tick < 400 && !lease.mayOrder(lease.epoch); tick++) {
      await lease.advance({ needsOrders: true });
      this.nowMs += TICK_MS;
    }
    return this.nowMs;
  }
}

// The records of a daemon that claims again said that others need not wait for
// the orders that it had sent before.
test("a daemon that starts again lets others wait for its former process's orders", async (t) => {
  const harness = new LeaseHarness();
  await harness.afterOrder();
  const orderedAtMs = harness.nowMs;
  const second = harness.lease(FIRST, { incarnation: "2" });
  await harness.run(second, 700);
  t.true(second.epoch > 0);
  await second.release("the daemon stops");
  const other = harness.lease(OTHER);
  t.true(await harness.firstOrderAtMs(other) - orderedAtMs >= LEASE_MS);
});

test("a daemon that claims again lets others wait for its own orders", async (t) => {
  const harness = new LeaseHarness();
  const lease = await harness.afterOrder();
  const orderedAtMs = harness.nowMs;
  lease.end("an engine knows a later epoch", lease.epoch);
  while (lease.epoch === 0) await harness.run(lease, TICK_MS);
  await lease.release("the daemon stops");
  const { waitMs } = harness.records.list.at(-1)!;
  t.true(harness.nowMs + waitMs - orderedAtMs >= LEASE_MS);
});

test("a claim after a restore lets others wait for the orders before it", async (t) => {
  const harness = new LeaseHarness();
  const lease = await harness.afterOrder();
  const orderedAtMs = harness.nowMs;
  harness.nextAppend = "restored";
  while (lease.epoch > 0) await harness.run(lease, TICK_MS, true);
  const { length } = harness.records.list;
  harness.state = { end: length, newest: "unknown" };
  await lease.advance({ needsOrders: true });
  const claim = harness.records.list.at(-1)!;
  t.is(claim.kind, "claim");
  t.is(harness.records.list.length, length + 1);
  t.true(harness.nowMs + claim.waitMs - orderedAtMs >= LEASE_MS);
});

// One wrong message kept the daemon from claims once the log had grown so far.
test("a wrong end that a peer told of changes nothing once the log reaches it", async (t) => {
  const harness = new LeaseHarness();
  const lease = harness.lease(OTHER);
  harness.records.list.push(renewalOf(FIRST));
  lease.noteLogEnd(10);
  for (let record = 0; record < 20; record++) {
    await harness.run(lease, 700);
    harness.records.list.push(renewalOf(FIRST));
  }
  t.is(lease.epoch, 0);
  const renewedAtMs = harness.nowMs;
  t.true(await harness.firstOrderAtMs(lease) - renewedAtMs >= LEASE_MS);
  t.true(lease.mayOrder(lease.epoch));
});

test("a wall clock that is set forward does not shorten a successor's wait", async (t) => {
  const harness = new LeaseHarness();
  let clockAheadMs = 0;
  const holder = harness.lease(FIRST);
  const other = harness.lease(OTHER, { clockAheadMs: () => clockAheadMs });
  for (let tick = 0; tick < 20; tick++) {
    await holder.advance({ needsOrders: true });
    other.noteLogEnd(holder.logEnd);
    await harness.run(other, TICK_MS, true);
  }
  clockAheadMs = 6_000;
  const permittedAtMs = harness.nowMs;
  t.true(await harness.firstOrderAtMs(other) - permittedAtMs >= LEASE_MS);
});
