/**
 * Daemons that are killed, stopped, drained or stand still.
 *
 * @module
 */

import type { Daemon } from "../harness/daemon.ts";
import { proposeChange } from "../harness/operator.ts";
import type { Scenario, ScenarioContext } from "../scenario.ts";

type Check = ScenarioContext["check"];

async function stopCleanly(daemon: Daemon, check: Check): Promise<void> {
  const code = await daemon.stop();
  check(`exit of ${daemon.vmId}`, { isMet: code === 0, detail: String(code) });
}

const entryKilled: Scenario = {
  name: "entry_killed",
  summary: "A daemon is killed and started again on the same VM, twice",
  async run({ fleet, faultBegins, pass, startAgain }) {
    const victim = fleet.daemons[0]!;
    faultBegins();
    for (let round = 0; round < 2; round++) {
      await victim.kill();
      await pass(800);
      await startAgain(victim);
      await pass(1000);
    }
  },
};

const entryEnds: Scenario = {
  name: "entry_ends",
  summary: "A daemon is killed for good and leaves the VM list",
  async run({ fleet, faultBegins, pass }) {
    const victim = fleet.daemons[1]!;
    faultBegins();
    await victim.kill();
    await pass(1000);
    await fleet.unlist(victim.vmId);
    await pass(4000);
  },
};

const entryStopped: Scenario = {
  name: "entry_stopped",
  summary: "A daemon gets SIGTERM under load",
  isPlanned: true,
  async run({ fleet, faultBegins, check }) {
    faultBegins();
    await stopCleanly(fleet.daemons[0]!, check);
  },
};

const entryDrained: Scenario = {
  name: "entry_drained",
  summary: "An operator drains a VM through another daemon",
  isPlanned: true,
  async run({ fleet, faultBegins, check }) {
    const [proposer, drained] = fleet.daemons as [Daemon, Daemon];
    faultBegins();
    const { status } = await proposeChange(proposer, {
      kind: "vm_drain_requested",
      vmId: drained.vmId,
    });
    check("drain accepted", { isMet: status === 200, detail: String(status) });
    const code = await drained.whenEnded(20_000);
    check("exit after drain", { isMet: code === 0, detail: String(code) });
  },
};

const rollingRestart: Scenario = {
  name: "rolling_restart",
  summary: "Every daemon in turn gets SIGTERM and is started again",
  isPlanned: true,
  async run({ fleet, faultBegins, check, pass, startAgain }) {
    faultBegins();
    for (const daemon of fleet.daemons) {
      await stopCleanly(daemon, check);
      await startAgain(daemon);
      await pass(500);
    }
  },
};

const entryPaused: Scenario = {
  name: "entry_paused",
  summary: "A daemon stands still for 5 s, longer than its loans last",
  async run({ fleet, faultBegins, pass }) {
    const { process } = fleet.daemons[0]!;
    faultBegins();
    process.pause();
    await pass(5000);
    process.resume();
    await pass(2000);
  },
};

const massRestart: Scenario = {
  name: "mass_restart",
  summary: "All daemons are killed at once and started again",
  async run({ fleet, faultBegins, pass, startAgain }) {
    faultBegins();
    await Promise.all(fleet.daemons.map((daemon) => daemon.kill()));
    await startAgain(...fleet.daemons);
    await pass(3000);
  },
};

const massRestartLogDown: Scenario = {
  name: "mass_restart_log_down",
  summary: "One domain's daemons restart while the log is down",
  async run({ fleet, faultBegins, pass, startAgain }) {
    const [domain] = fleet.shape.domains;
    const restarted = fleet.daemons.filter((one) => one.domain === domain);
    faultBegins();
    await fleet.platform.control({ down: "refuse" });
    await Promise.all(restarted.map((daemon) => daemon.kill()));
    await startAgain(...restarted);
    await pass(4000);
    await fleet.platform.control({ down: false });
    await pass(1000);
  },
};

const restartAfterTruncation: Scenario = {
  name: "restart_after_truncation",
  summary: "A daemon restarts after the log dropped its oldest configuration",
  async run({ fleet, faultBegins, pass, startAgain }) {
    const victim = fleet.daemons[0]!;
    faultBegins();
    await fleet.platform.control({ retentionRecords: 1 });
    await victim.kill();
    await startAgain(victim);
    await pass(2000);
  },
};

const RETENTION_MS = 12_000;

const restartAfterRetention: Scenario = {
  name: "restart_after_retention",
  summary: "All daemons restart when the log keeps nothing but snapshots",
  shape: {
    platform: { vmListLagMs: 500, retentionMs: RETENTION_MS },
    platformSettings: { logRetentionMs: RETENTION_MS },
  },
  async run({ fleet, faultBegins, pass, startAgain }) {
    await pass(RETENTION_MS * 1.5);
    faultBegins();
    await Promise.all(fleet.daemons.map((daemon) => daemon.kill()));
    await startAgain(...fleet.daemons);
    await pass(2000);
  },
};

/** Scenarios about entry VMs. */
export const ENTRY_VM_SCENARIOS: readonly Scenario[] = [
  entryKilled,
  entryEnds,
  entryStopped,
  entryDrained,
  rollingRestart,
  entryPaused,
  massRestart,
  massRestartLogDown,
  restartAfterTruncation,
  restartAfterRetention,
];
