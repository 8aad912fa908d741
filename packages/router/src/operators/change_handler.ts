/**
 * `POST /operator/v1/changes` and the verdict on earlier changes.
 *
 * @module
 */

import type { KeyId } from "@endivebend/types";
import { keyIdOf } from "@endivebend/configuration";
import { createError } from "@endivebend/errors";
import type { ConfigurationTask } from "../configuration/configuration_task.ts";
import type { ProposalResult } from "../configuration/proposals.ts";
import type { AppendRecord, Clock, Logger, Metrics } from "../ports.ts";
import { toChangeRecord } from "./change_record.ts";
import { GrantedSecrets } from "./granted_secrets.ts";

const RETRY_AFTER_MS = 2_000;

/** An answer to an operator. */
export interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** What the handler needs. */
export interface ChangeHandlerOptions {
  readonly configuration: ConfigurationTask;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** How long a change may take until its outcome is reported as unknown. */
  readonly changeTimeoutMs: number;
}

interface GrantedKeyFields {
  readonly keyId?: KeyId;
  readonly secret?: string;
  readonly remedy?: string;
}

/** Proposes changes and words their verdicts. */
export class ChangeHandler {
  readonly #options: ChangeHandlerOptions;
  readonly #secrets = new GrantedSecrets();

  constructor(options: ChangeHandlerOptions) {
    this.#options = options;
  }

  /** Proposes one change. Throws when it certainly did not take place. */
  async propose(
    proposal: Readonly<Record<string, unknown>>,
    operator: string,
  ): Promise<OperatorAnswer> {
    const { configuration, clock, changeTimeoutMs } = this.#options;
    const secrets = this.#secrets;
    const record = toChangeRecord(proposal, { operator, secrets });
    const deadlineElapsedMs = clock.elapsedMs() + changeTimeoutMs;
    const result = await configuration.propose(record, { deadlineElapsedMs });
    this.#logResult(record, { result, operator });
    return this.#formatResult(record, result);
  }

  /** The verdict on a record id. Throws `unknown_route` when none is known. */
  verdict(recordId: string): OperatorAnswer {
    const decided = this.#options.configuration.verdict(recordId);
    if (decided !== undefined) {
      const { kind: verdict, ...rest } = decided.verdict;
      const { offset } = decided;
      return { status: 200, body: { verdict, recordId, offset, ...rest } };
    }
    throw createError(
      "unknown_route",
      "No verdict on this record id is known here",
      {
        remedy:
          "Propose the change again with the same record id; it is never doubled",
      },
    );
  }

  #logResult(
    { kind, recordId }: AppendRecord,
    outcome: { readonly result: ProposalResult; readonly operator: string },
  ): void {
    const { logger, metrics } = this.#options;
    const verdict = outcome.result.kind;
    metrics.increment("operators.changes", { kind, verdict });
    const { operator } = outcome;
    logger.info({ operator, kind, recordId, verdict }, "Change proposed");
  }

  #formatResult(record: AppendRecord, result: ProposalResult): OperatorAnswer {
    const { recordId } = record;
    switch (result.kind) {
      case "accepted": {
        const { offset, revision } = result;
        const key = this.#grantedKeyFields(record);
        this.#secrets.discard(recordId);
        const verdict = "accepted";
        const body = { verdict, recordId, offset, revision, ...key };
        return { status: 200, body };
      }
      case "refused": {
        this.#secrets.discard(recordId);
        const { kind: verdict, ...rest } = result;
        const status = result.currentRevision === null ? 422 : 409;
        return { status, body: { verdict, recordId, ...rest } };
      }
      case "not_appended":
        return this.#formatNotAppended(record, result.reason);
      case "unknown":
        return this.#formatUnknown(record, result.reason);
    }
  }

  #formatNotAppended(record: AppendRecord, reason: string): OperatorAnswer {
    if (this.#isBlocked(record)) return this.#formatUnknown(record, reason);
    throw createError(
      "platform_unavailable",
      `The change is not in force: ${reason}`,
      {
        retryAfterMs: RETRY_AFTER_MS,
        remedy: "Propose the change again when endivebend status shows the log",
      },
    );
  }

  #formatUnknown(record: AppendRecord, message: string): OperatorAnswer {
    const { recordId } = record;
    const blocked = this.#isBlocked(record);
    const remedy = blocked
      ? "The key is blocked here and at reachable peers, and its withdrawal is appended when the log answers; ask again to see that"
      : "Ask again with the same record id; the change is never doubled";
    const key = this.#grantedKeyFields(record);
    return {
      status: 202,
      body: {
        verdict: "unknown",
        recordId,
        message,
        ...key,
        remedy,
        ...(blocked ? { blocked } : {}),
      },
    };
  }

  #isBlocked(record: AppendRecord): boolean {
    if (record.kind !== "key_withdrawn") return false;
    const digests = this.#options.configuration.blockedDigests();
    return digests.some((digest) => keyIdOf(digest) === record.keyId);
  }

  /** The key of a grant; its secret only when this daemon made that key. */
  #grantedKeyFields({ kind, recordId, team }: AppendRecord): GrantedKeyFields {
    if (kind !== "key_granted") return {};
    const { secret, digest } = this.#secrets.getOrCreate(recordId);
    const check = this.#options.configuration.checkKey(digest);
    const isDecided =
      this.#options.configuration.verdict(recordId) !== undefined;
    if (!isDecided || check.kind === "valid") {
      return { keyId: keyIdOf(digest), secret };
    }
    return {
      remedy:
        `The key was granted before and its secret is shown only once; withdraw it and grant another to ${team}`,
    };
  }
}
