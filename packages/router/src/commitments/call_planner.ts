/**
 * Decides what to do with a call, from the log and from the intents of this
 * daemon incarnation whose end is not in the log yet.
 *
 * @module
 */

import {
  type CommitmentEntry,
  type CommitmentPlan,
  type CommitmentState,
  decideCall,
} from "@endivebend/commitments";
import type {
  Clock,
  Explainer,
  FollowedStream,
  Identity,
  MembershipView,
} from "../ports.ts";
import { hasWriterEnded } from "../membership/writer_ended.ts";
import type { DescribedCall } from "./described_call.ts";
import { type LocalIntents, planFromLocal } from "./local_intents.ts";
import type { CommitmentTaskSettings } from "./settings.ts";

/** Dependencies of {@link CallPlanner}. */
export interface CallPlannerOptions {
  readonly identity: Identity;
  readonly stream: FollowedStream;
  readonly membership: MembershipView;
  readonly clock: Clock;
  readonly explainer: Explainer;
  readonly settings: CommitmentTaskSettings;
  readonly intents: LocalIntents;
  /** Returns the present state of the `commitments` stream. */
  readonly state: () => CommitmentState;
}

/** Plans calls without changing any state. */
export class CallPlanner {
  readonly #options: CallPlannerOptions;

  constructor(options: CallPlannerOptions) {
    this.#options = options;
  }

  /** Decides what to do with a call and records why. */
  plan(described: DescribedCall): CommitmentPlan {
    const plan = this.#decide(described);
    this.#explain(described, plan);
    return plan;
  }

  #decide({ commitmentCall }: DescribedCall): CommitmentPlan {
    const { keyDigest } = commitmentCall;
    const log = this.#logStatus();
    const local = keyDigest === undefined
      ? undefined
      : this.#options.intents.get(keyDigest);
    if (local) {
      return planFromLocal(local, commitmentCall, {
        isLogUnavailable: log === "away",
      });
    }
    const { clock, settings } = this.#options;
    return decideCall(this.#options.state(), commitmentCall, {
      nowMs: clock.wallMs(),
      log,
      hasEnded: (holder) => this.#hasEnded(holder),
      retryAfterMs: settings.retryAfterMs,
    });
  }

  #logStatus(): "ready" | "catching_up" | "away" {
    const { stream, settings } = this.#options;
    if (stream.silenceMs() > settings.logUnavailableAfterMs) return "away";
    return stream.isCaughtUp() ? "ready" : "catching_up";
  }

  #hasEnded(holder: Readonly<CommitmentEntry>): boolean {
    const { vmId, incarnation, atMs: writtenAtMs } = holder;
    return hasWriterEnded({ vmId, incarnation, writtenAtMs }, this.#options);
  }

  #explain(
    { call, commitmentCall }: DescribedCall,
    plan: CommitmentPlan,
  ): void {
    const { keyDigest } = commitmentCall;
    const entry = keyDigest ? this.#options.state().get(keyDigest) : undefined;
    this.#options.explainer.record(call.requestId, {
      step: "commitment",
      known: {
        keyDigest,
        log: this.#logStatus(),
        status: entry?.status ?? "none",
        holder: entry && `${entry.vmId}/${entry.incarnation}`,
      },
      chosen: plan.kind === "replay" ? { kind: plan.kind } : plan,
    });
  }
}
