/**
 * `endivebend vm`.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import type { OperatorClient } from "../operator_client.ts";
import { ChangeCommand, OperatorCommand } from "../operator_command.ts";
import { formatTable } from "../output.ts";

const category = "VMs";

interface VmList {
  readonly vms: readonly {
    readonly vmId: string;
    readonly failureDomain: string;
    readonly address: string;
    readonly state: string;
    readonly drainRequested: boolean;
  }[];
  readonly absentDrains: readonly string[];
}

/** `vm list`. */
export class VmListCommand extends OperatorCommand {
  static override paths = [["vm", "list"]];
  static override usage = Command.Usage({
    category,
    description: "List the entry VMs that answer, and requested drains",
    examples: [["List the entry VMs", "$0 vm list"]],
  });

  async call(client: OperatorClient) {
    const list = await client.get<VmList>("/operator/v1/vms");
    const headings = ["VM", "FAILURE DOMAIN", "ADDRESS", "STATE", "DRAIN"];
    const present = list.vms.map((vm) => [
      vm.vmId,
      vm.failureDomain,
      vm.address,
      vm.state,
      vm.drainRequested ? "requested" : "-",
    ]);
    const absent = list.absentDrains.map((vmId) => [
      vmId,
      "-",
      "-",
      "absent",
      "requested",
    ]);
    return this.print(list, formatTable(headings, [...present, ...absent]));
  }
}

/** `vm drain VM_ID`. */
export class VmDrainCommand extends ChangeCommand {
  static override paths = [["vm", "drain"]];
  static override usage = Command.Usage({
    category,
    description: "Drain an entry VM, or cancel a requested drain",
    details: `
      The VM fails its readiness check first, finishes what it runs, releases
      its rights, and ends. A request stays in force until it is cancelled, so
      cancel it before a VM of the same id starts again.
    `,
    examples: [
      ["Drain a VM", "$0 vm drain entry-3"],
      ["Let a VM of this id serve again", "$0 vm drain entry-3 --cancel"],
    ],
  });
  vmId = Option.String({ required: true });
  cancel = Option.Boolean("--cancel", false, {
    description: "Cancel the drain that was requested",
  });

  async call(client: OperatorClient) {
    const { vmId, cancel } = this;
    const what = cancel ? "cancelled" : "requested";
    return await this.propose(client, {
      path: "/operator/v1/drain",
      body: { vmId, cancel },
      describe: ({ offset }) =>
        `The drain of ${vmId} is ${what} (offset ${offset})\n`,
    });
  }
}
