import test from "ava";
import { brandId, type FailureDomainId, type VmId } from "@endivebend/types";
import {
  type FleetMember,
  logPosition,
  shouldReadTopic,
  type TopicReadInput,
} from "./mod.ts";
import { gossipMessage } from "./testing.ts";

const DOMAIN = brandId<FailureDomainId>("a");
const TOPIC = "servers";
const VMS = Array.from({ length: 27 }, (_, index) => `vm-${index}`);

function member(
  vm: string,
  timing: { readonly heardAtMs: number; readonly readAgeMs?: number },
): FleetMember {
  const { heardAtMs, readAgeMs } = timing;
  return {
    vm: brandId<VmId>(vm),
    address: `10.0.0.1:${vm.length}`,
    heardAtMs,
    message: gossipMessage({
      vm: brandId<VmId>(vm),
      failureDomain: DOMAIN,
      records: { [TOPIC]: 7 },
      readAgesMs: readAgeMs === undefined ? {} : { [TOPIC]: readAgeMs },
    }),
  };
}

function input(
  self: string,
  fields: Partial<TopicReadInput> = {},
): TopicReadInput {
  return {
    self: brandId<VmId>(self),
    failureDomain: DOMAIN,
    topic: TOPIC,
    held: logPosition(0, 7),
    ownReadAtMs: Number.NEGATIVE_INFINITY,
    peers: [],
    nowMs: 10_000,
    ...fields,
  };
}

function readers(readAgeMs: number | undefined): string[] {
  const firstInRank = VMS.find((vm) =>
    shouldReadTopic(input(vm, {
      peers: VMS.filter((other) => other !== vm).map((other) =>
        member(other, { heardAtMs: 10_000, readAgeMs: 0 })
      ),
    }))
  );
  return VMS.filter((vm) =>
    shouldReadTopic(input(vm, {
      peers: VMS.filter((other) => other !== vm).map((other) =>
        member(other, {
          heardAtMs: 10_000,
          readAgeMs: other === firstInRank ? readAgeMs : undefined,
        })
      ),
    }))
  );
}

test("one daemon of a failure domain reads, even without new records", (t) => {
  t.is(readers(400).length, 1);
});

test("the next daemons in rank read first when the reader stops reading", (t) => {
  const earlyReaders = readers(1_350).length;
  t.true(earlyReaders > 1 && earlyReaders < 5, `${earlyReaders} daemons read`);
  t.is(readers(2_000).length, VMS.length);
});

test("a daemon that lacks records of its peers reads the store itself", (t) => {
  const peers = [
    member("vm-2", { heardAtMs: 10_000, readAgeMs: 0 }),
    member("vm-3", { heardAtMs: 10_000, readAgeMs: 0 }),
  ];
  for (const self of VMS) {
    t.true(shouldReadTopic(input(self, { peers, held: logPosition(0, 6) })));
  }
});
