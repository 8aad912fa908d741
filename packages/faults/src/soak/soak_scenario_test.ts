import test from "ava";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { ScenarioContext } from "../scenario.ts";
import { planFault, SOAK_FAULTS } from "./soak_faults.ts";
import { soakScenario } from "./soak_scenario.ts";

/** A fleet that records what is done to it. */
function fakeContext(seed: number) {
  const events: string[] = [];
  const down = new Set<string>();
  const standIn = (name: string) => ({
    control(fields: Readonly<Record<string, unknown>>) {
      events.push(`${name} ${JSON.stringify(fields)}`);
      return Promise.resolve();
    },
  });
  const daemons = ["entry-1", "entry-2"].map((vmId) => ({
    vmId,
    kill() {
      events.push(`kill ${vmId}`);
      down.add(vmId);
      return Promise.resolve();
    },
    stop() {
      events.push(`stop ${vmId}`);
      down.add(vmId);
      return Promise.resolve(0);
    },
    process: {
      pause: () => down.add(vmId),
      resume: () => down.delete(vmId),
    },
  }));
  const server = (vmId: string) => ({ vm: { vmId }, standIn: standIn(vmId) });
  const context = {
    random: xoroshiro128plus(seed),
    fleet: {
      daemons,
      engines: [server("engine-1")],
      services: [server("service-1")],
      platform: standIn("log"),
      shape: { domains: ["fd-a", "fd-b"] },
      network: {
        cutDomains: () => down.add("links"),
        cutPlatform: () => down.add("links"),
        heal: () => down.delete("links"),
      },
    },
    faultBegins() {},
    startAgain(...again: readonly { readonly vmId: string }[]) {
      for (const { vmId } of again) down.delete(vmId);
      return Promise.resolve();
    },
    pass: () => new Promise<void>((resolve) => setTimeout(resolve, 1)),
  } as unknown as ScenarioContext;
  return { context, events, down };
}

test("one seed draws the same faults each time", (t) => {
  const draw = (seed: number) => {
    const { context } = fakeContext(seed);
    return Array.from({ length: 40 }, () => planFault(context).name);
  };
  t.deepEqual(draw(7), draw(7));
  t.notDeepEqual(draw(7), draw(8));
  const drawn = new Set([1, 2, 3, 4, 5].flatMap(draw));
  t.deepEqual([...drawn].sort(), [...SOAK_FAULTS].sort());
});

test("every fault is undone before the verdict", async (t) => {
  const { context, events, down } = fakeContext(3);
  await soakScenario(150).run(context);
  t.true(events.length > 0);
  t.deepEqual([...down], []);
});
