/**
 * The control fields of the platform stand-in.
 *
 * @module
 */

import type { VmEntry, VmState } from "@endivebend/types";
import type { Platform, PlatformFaults } from "./platform.ts";
import { withoutVm, withVm, withVmState } from "./vm_changes.ts";

/** Applies one field of a control message. */
export type PlatformControl = (
  platform: Platform,
  value: unknown,
) => Promise<void> | void;

/** The fields of control messages. */
export const PLATFORM_CONTROLS: Readonly<Record<string, PlatformControl>> = {
  down: async ({ faults, server }, value) => {
    faults.down = value === true ? "refuse" : value as PlatformFaults["down"];
    server.setHangs(faults.down === "hang");
    if (faults.down === "refuse") {
      server.stopListening();
      server.destroyConnections();
    } else {
      await server.listenAgain();
    }
    // Calls that hung are not answered later: their connections end.
    if (faults.down === false) server.destroyConnections();
  },
  slowMs: ({ faults }, value) => {
    faults.slowMs = Number(value);
  },
  loseAppendAnswers: ({ faults }, value) => {
    faults.loseAppendAnswers = Number(value);
  },
  refuseAppends: ({ faults }, value) => {
    faults.refuseAppends = value === true;
  },
  vmListLagMs: ({ vms }, value) => {
    vms.lagMs = Number(value);
  },
  retentionRecords: ({ retention }, value) => {
    retention.records = Number(value);
  },
  retentionMs: ({ retention }, value) => {
    retention.ms = Number(value);
  },
  appendsPerSecond: ({ appendRate }, value) => {
    appendRate.perSecond = Number(value);
  },
  weightsBytesPerSecond: ({ weightSpeed }, value) => {
    weightSpeed.bytesPerSecond = Number(value);
  },
  set_vms: (platform, value) => platform.changeVms(() => value as VmEntry[]),
  add_vm: (platform, value) =>
    platform.changeVms((vms) => withVm(vms, value as VmEntry)),
  remove_vm: (platform, value) =>
    platform.changeVms((vms) =>
      withoutVm(vms, (value as { vmId: string }).vmId)
    ),
  set_vm_state: (platform, value) =>
    platform.changeVms((vms) =>
      withVmState(vms, value as { vmId: string; state: VmState })
    ),
};
