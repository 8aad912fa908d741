/**
 * The links between failure domains and to the platform.
 *
 * @module
 */

import type { VmEntry } from "@endivebend/types";
import { PlatformGateway } from "./platform_gateway.ts";
import { Relay } from "./relay.ts";

interface Link {
  readonly from: string;
  readonly to: string;
  readonly relay: Relay;
}

/** All relays and gateways of one fleet. */
export class Network {
  readonly #links = new Map<string, Link>();
  readonly #gateways = new Map<string, PlatformGateway>();

  /** Opens the links from every failure domain to the VMs of the others. */
  async connect(
    domains: readonly string[],
    options: {
      readonly vms: readonly VmEntry[];
      readonly platformAddress: string;
    },
  ): Promise<void> {
    for (const from of domains) {
      await this.#openLinks(from, options.vms);
      const gateway = new PlatformGateway({
        platformAddress: options.platformAddress,
        rewrite: (vm) => this.#rewrite(from, vm),
      });
      await gateway.start();
      this.#gateways.set(from, gateway);
    }
  }

  /** Address under which a failure domain reaches the platform. */
  platformAddress(domain: string): string {
    return this.#gateway(domain).address;
  }

  /** Address under which a failure domain reaches a VM. */
  addressOf(vm: VmEntry, domain: string): string {
    return this.#links.get(linkKey(domain, vm.address))?.relay.address ??
      vm.address;
  }

  /** Cuts the links between two failure domains, in both directions. */
  cutDomains(one: string, other: string): void {
    for (const { from, to, relay } of this.#links.values()) {
      const isBetween = (from === one && to === other) ||
        (from === other && to === one);
      if (isBetween) relay.cut();
    }
  }

  /** Cuts a failure domain from the platform. */
  cutPlatform(domain: string): void {
    this.#gateway(domain).cut();
  }

  /** Mends every link. */
  heal(): void {
    for (const { relay } of this.#links.values()) relay.heal();
    for (const gateway of this.#gateways.values()) gateway.heal();
  }

  async close(): Promise<void> {
    for (const { relay } of this.#links.values()) relay.close();
    for (const gateway of this.#gateways.values()) await gateway.close();
  }

  async #openLinks(from: string, vms: readonly VmEntry[]): Promise<void> {
    for (const vm of vms) {
      if (vm.failureDomain === from) continue;
      const relay = new Relay(vm.address);
      await relay.start();
      const key = linkKey(from, vm.address);
      this.#links.set(key, { from, to: vm.failureDomain, relay });
    }
  }

  #rewrite(from: string, vm: VmEntry): VmEntry {
    return { ...vm, address: this.addressOf(vm, from) };
  }

  #gateway(domain: string): PlatformGateway {
    const gateway = this.#gateways.get(domain);
    if (gateway === undefined) throw new RangeError(`No domain ${domain}`);
    return gateway;
  }
}

function linkKey(from: string, address: string): string {
  return `${from} ${address}`;
}
