/**
 * Changes of the platform's VM list.
 *
 * @module
 */

import type { VmEntry, VmState } from "@endivebend/types";

/** The list with one VM added, or replaced when its id is listed. */
export function withVm(
  vms: readonly VmEntry[],
  vm: VmEntry,
): readonly VmEntry[] {
  return [...withoutVm(vms, vm.vmId), vm];
}

/** The list without one VM. */
export function withoutVm(
  vms: readonly VmEntry[],
  vmId: string,
): readonly VmEntry[] {
  return vms.filter((vm) => vm.vmId !== vmId);
}

/** The list with the state of one VM changed. */
export function withVmState(
  vms: readonly VmEntry[],
  change: { readonly vmId: string; readonly state: VmState },
): readonly VmEntry[] {
  return vms.map((vm) =>
    vm.vmId === change.vmId ? { ...vm, state: change.state } : vm
  );
}
