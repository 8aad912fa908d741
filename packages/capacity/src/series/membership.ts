/**
 * The view of entry VMs and backend servers.
 *
 * @module
 */

import { Membership } from "@endivebend/membership";
import { firstByRendezvous } from "@endivebend/routing";
import {
  brandId,
  type ServiceName,
  type VmEntry,
  type VmList,
} from "@endivebend/types";
import { heapSeries, type Series, sizeSeries, timeSeries } from "../measure.ts";
import {
  engineVm,
  ENTRY_VMS,
  entryVm,
  incarnationAt,
  vmList,
  WEIGHTS,
} from "../samples.ts";

const LISTED = [3_000, 6_000, 12_000];
const NOW_MS = 1_000;

function listOf(engines: number): VmList {
  return { asOfMs: 1_796_000_000_000, vms: vmList(ENTRY_VMS, engines) };
}

/** A view in which all peers and engines have answered. */
export function membershipWith(engines: number, entryVms = ENTRY_VMS) {
  const membership = new Membership({ self: entryVm(0), seeds: [] });
  membership.applyList({ asOfMs: 1, vms: vmList(entryVms, engines) });
  for (let index = 1; index < entryVms; index++) notePeer(membership, index);
  for (let index = 0; index < engines; index++) noteEngine(membership, index);
  return membership;
}

function notePeer(membership: Membership, index: number): void {
  const { vmId, failureDomain, address } = entryVm(index);
  membership.recordPeer({
    vmId,
    incarnation: incarnationAt(index),
    failureDomain,
    draining: false,
    address,
  }, NOW_MS);
}

function noteEngine(membership: Membership, index: number): void {
  const { id } = membership.backendServer(
    brandId(engineVm(index).vmId),
    NOW_MS,
  )!;
  membership.recordServerAnswer(id, {
    incarnation: incarnationAt(index),
    weightsVersion: WEIGHTS,
    asOfMs: NOW_MS,
  });
}

/** The watcher's choice of its engines, as the router makes it at each scan. */
function chooseWatched(engines: number) {
  const membership = membershipWith(engines);
  const entryVms = membership.entryVms(NOW_MS);
  return () =>
    membership.serversOfRole("engine", NOW_MS).filter(({ entry }) =>
      watcherOf(entry, entryVms)?.vmId === entryVm(0).vmId
    );
}

function watcherOf(
  engine: VmEntry,
  entryVms: readonly VmEntry[],
): VmEntry | undefined {
  const local = entryVms.filter((entry) =>
    entry.failureDomain === engine.failureDomain
  );
  const ids = local.map((entry) => entry.vmId);
  const chosen = firstByRendezvous(engine.vmId as string, ids);
  return local.find((entry) => entry.vmId === chosen);
}

/** The series of this module. */
export const membershipSeries: readonly Series[] = [
  sizeSeries({
    name: "vm_list.json_bytes",
    per: "listed VM",
    sizes: LISTED,
    encode: (size) => JSON.stringify(listOf(size)),
  }),
  timeSeries({
    name: "vm_list.parse_us",
    per: "listed VM",
    sizes: LISTED,
    repeatable: true,
    prepare: (size) => {
      const text = JSON.stringify(listOf(size));
      return () => JSON.parse(text);
    },
  }),
  timeSeries({
    name: "membership.apply_list_us",
    per: "listed VM",
    sizes: LISTED,
    repeatable: true,
    prepare: (size) => {
      const membership = membershipWith(size);
      const list = listOf(size);
      return () => membership.applyList(list);
    },
  }),
  heapSeries({
    name: "membership.vm_bytes",
    per: "listed VM",
    sizes: LISTED,
    make: (size) => membershipWith(size),
  }),
  heapSeries({
    name: "membership.peer_bytes",
    per: "entry VM",
    sizes: [100, 205, 410],
    make: (size) => membershipWith(0, size),
  }),
  timeSeries({
    name: "membership.entry_vms_us",
    per: "listed engine",
    sizes: LISTED,
    repeatable: true,
    prepare: (size) => {
      const membership = membershipWith(size);
      return () => membership.entryVms(NOW_MS);
    },
  }),
  timeSeries({
    name: "membership.note_peer_us",
    per: "entry VM",
    sizes: [100, 205, 410],
    repeatable: true,
    prepare: (size) => {
      const membership = membershipWith(100, size);
      return () => notePeer(membership, 7);
    },
  }),
  timeSeries({
    name: "membership.servers_of_service_us",
    per: "listed engine",
    sizes: LISTED,
    repeatable: true,
    prepare: (size) => {
      const membership = membershipWith(size);
      const service = brandId<ServiceName>("model-3");
      return () => membership.backendServers(service, NOW_MS);
    },
  }),
  timeSeries({
    name: "watcher.scan_us",
    per: "listed engine",
    sizes: LISTED,
    repeatable: true,
    prepare: chooseWatched,
  }),
];
