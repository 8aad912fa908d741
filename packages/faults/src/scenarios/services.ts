/**
 * Plain services that die around a call, go silent or leave.
 *
 * @module
 */

import type { Daemon } from "../harness/daemon.ts";
import { type Booking, bookOnce, newBooking } from "../load/booking_call.ts";
import { mustBeZero } from "../run_scenario.ts";
import type { Scenario, ScenarioContext } from "../scenario.ts";

async function controlServices(
  { fleet }: ScenarioContext,
  fields: Readonly<Record<string, unknown>>,
): Promise<void> {
  for (const { standIn } of fleet.services) await standIn.control(fields);
}

const diesBeforeRun: Scenario = {
  name: "service_dies_before_run",
  summary: "Booking calls lose their connections before they run",
  async run(context) {
    context.faultBegins();
    for (let round = 0; round < 6; round++) {
      await controlServices(context, { dieBeforeRun: 3 });
      await context.pass(500);
    }
  },
};

const diesAfterRun: Scenario = {
  name: "service_dies_after_run",
  summary: "Booking calls run and lose their answers",
  async run(context) {
    context.faultBegins();
    for (let round = 0; round < 6; round++) {
      await controlServices(context, { dieAfterRun: 3 });
      await context.pass(500);
    }
  },
};

const serviceSilent: Scenario = {
  name: "service_silent",
  summary: "Open connections of every service go silent while calls run",
  async run(context) {
    await controlServices(context, { slowMs: 100 });
    context.faultBegins();
    await controlServices(context, { silence: true });
    await context.pass(3000);
  },
};

const serviceLeaves: Scenario = {
  name: "service_leaves",
  summary: "A service is marked as leaving and refuses new work",
  isPlanned: true,
  async run({ fleet, faultBegins, pass }) {
    const leaving = fleet.services[0]!;
    faultBegins();
    await fleet.listState(leaving.vm, "leaving");
    await pass(1000);
    await leaving.standIn.control({ drainingRefusal: true });
    await pass(2500);
  },
};

const entryKilledWhileBooking: Scenario = {
  name: "entry_killed_while_booking",
  summary:
    "A daemon is killed in the middle of slow bookings; others repeat them",
  async run(context) {
    const { fleet, rotation, load, faultBegins, pass } = context;
    const victim = fleet.daemons[0]!;
    await controlServices(context, { slowMs: 600 });
    const bookings = Array.from({ length: 10 }, newBooking);
    const atVictim = bookings.map((booking) =>
      bookOnce(rotation, booking, {
        team: fleet.team,
        target: rotation.of(victim),
      })
    );
    await pass(300);
    faultBegins();
    await victim.kill();
    await Promise.all(atVictim);
    await repeatEverywhere(context, bookings);
    await context.startAgain(victim);
    await repeatEverywhere(context, bookings);
    load.bookings.push(...bookings);
    context.addOutcomes(...bookings.flatMap(({ attempts }) => attempts));
  },
};

const sameKeyEverywhere: Scenario = {
  name: "same_key_everywhere",
  summary: "The same bookings arrive at every daemon at the same moment",
  async run(context) {
    const bookings = Array.from({ length: 15 }, newBooking);
    context.faultBegins();
    await repeatEverywhere(context, bookings);
    context.load.bookings.push(...bookings);
    context.addOutcomes(...bookings.flatMap(({ attempts }) => attempts));
    const refused = bookings.filter(({ attempts }) =>
      !attempts.some(({ kind }) => kind === "answered")
    );
    context.check("bookings that nobody got", mustBeZero(refused.length));
  },
};

/** Sends every booking to every running daemon at once. */
async function repeatEverywhere(
  { fleet, rotation }: ScenarioContext,
  bookings: readonly Booking[],
): Promise<void> {
  const daemons: Daemon[] = fleet.daemons.filter(({ process }) =>
    process.isRunning
  );
  const calls = bookings.flatMap((booking) =>
    daemons.map((daemon) => {
      const target = rotation.of(daemon);
      return bookOnce(rotation, booking, { team: fleet.team, target });
    })
  );
  await Promise.all(calls);
}

/** Scenarios about plain services. */
export const SERVICE_SCENARIOS: readonly Scenario[] = [
  diesBeforeRun,
  diesAfterRun,
  serviceSilent,
  serviceLeaves,
  entryKilledWhileBooking,
  sameKeyEverywhere,
];
