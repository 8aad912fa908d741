/**
 * Where one request may be sent now, given what its attempts have excluded and
 * the software version that its answer has to stay on.
 *
 * @module
 */

import type { BackendServerId } from "@endivebend/types";
import { type Placement, placeProbe, placeRequest } from "./placement.ts";
import type { RunState } from "./run_state.ts";
import type { KnownServer } from "./server_registry.ts";
import { isRepeatable } from "./types.ts";

/** A server that was found for an attempt. */
export type Placed = Placement & { readonly kind: "placed" };

/** The places for attempts of one request. */
export class AttemptPlaces {
  readonly #state: RunState;

  constructor(state: RunState) {
    this.#state = state;
  }

  place(exclude: ReadonlySet<BackendServerId>, nowMs: number): Placement {
    return placeRequest(this.#state.request, {
      ...this.#state.context,
      exclude,
      hasBegun: this.#state.relay.hasBegun,
      softwareVersion: this.#state.versionToGoOn(),
      nowMs,
    });
  }

  placeProbe(nowMs: number): Placed | undefined {
    const probe = this.findProbe(nowMs);
    if (probe === undefined) return undefined;
    this.#state.context.weightsProbes.take(probe.server.listed.id, nowMs);
    return probe;
  }

  findProbe(nowMs: number): Placed | undefined {
    return placeProbe(this.#state.request, {
      ...this.#state.context,
      exclude: this.#state.excluded,
      hasBegun: this.#state.relay.hasBegun,
      softwareVersion: this.#state.versionToGoOn(),
      nowMs,
    });
  }

  hasPlace(): boolean {
    return this.place(this.#state.excluded, this.#state.nowMs()).kind ===
      "placed";
  }

  /** Whether an attempt can be sent now, be it as a probe. */
  hasPlaceOrProbe(): boolean {
    const nowMs = this.#state.nowMs();
    const placement = this.place(this.#state.excluded, nowMs);
    return placement.kind === "placed" ||
      (placement.reason === "stale_weights" &&
        this.findProbe(nowMs) !== undefined);
  }

  /** The server at which an answer that has begun would go on now. */
  findNext(): KnownServer | undefined {
    const placement = this.place(this.#state.excluded, this.#state.nowMs());
    return placement.kind === "placed" ? placement.server : undefined;
  }

  /**
   * Whether this VM is cut off and no other one takes on a request that runs at
   * most once. On the own links it would likely be lost, and could not be said
   * not to have run.
   */
  hasNoForwarderLeft({ listed }: KnownServer): boolean {
    const { paths } = this.#state.context;
    return !isRepeatable(this.#state.request.route.kind) &&
      this.#state.excludedForwarders.size > 0 &&
      paths.isCutOff(listed.service) &&
      paths.forwarderFor(listed, this.#state.excludedForwarders) === undefined;
  }

  /**
   * Whether a server of the answer's software version is listed, be it one that
   * has failed: it may be back soon, or have room.
   */
  hasServerToWaitFor(): boolean {
    const version = this.#state.versionToGoOn();
    const { registry } = this.#state.context;
    return version !== undefined &&
      registry.usable(this.#state.request.service, this.#state.nowMs())
        .some(({ listed }) => listed.softwareVersion === version);
  }
}
