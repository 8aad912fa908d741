/**
 * Handles `POST /operator/v1/changes` and `GET /operator/v1/changes/:id`.
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

/** Status and JSON body of an answer to an operator. */
export interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Dependencies of {@link ChangeHandler}. */
export interface ChangeHandlerOptions {
  readonly configuration: ConfigurationTask;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Time after which the outcome of a change is reported as unknown. */
  readonly changeTimeoutMs: number;
}

interface GrantedKeyFields {
  readonly keyId?: KeyId;
  readonly secret?: string;
  readonly remedy?: string;
}

/** Proposes changes and answers with their verdicts. */
export class ChangeHandler {
  readonly #options: ChangeHandlerOptions;
  readonly #secrets = new GrantedSecrets();

  constructor(options: ChangeHandlerOptions) {
    this.#options = options;
  }

  /**
   * Proposes one change. Throws `invalid_change` or `platform_unavailable` when
   * it certainly did not take effect.
   */
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

  /**
   * Returns the verdict on a record. Throws `unknown_route` if it is unknown.
   */
  verdict(recordId: string): OperatorAnswer {
    const decided = this.#options.configuration.verdict(recordId);
    if (decided !== undefined) {
      const { kind: verdict, ...rest } = decided.verdict;
      const { offset } = decided;
      return { status: 200, body: { verdict, recordId, offset, ...rest } };
    }
    throw createError(
      "unknown_route",
      "This VM knows no verdict on the record id",
      {
        remedy:
          "Propose the change again with the same record id; it is applied at most once",
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
      `The change has not taken effect: ${reason}`,
      {
        retryAfterMs: RETRY_AFTER_MS,
        remedy:
          "Propose the change again when endivebend status shows that the log is reachable",
      },
    );
  }

  #formatUnknown(record: AppendRecord, message: string): OperatorAnswer {
    const { recordId } = record;
    const blocked = this.#isBlocked(record);
    const remedy = blocked
      ? "The key is blocked at this VM and at reachable peers; its withdrawal is appended once the log answers, so ask again later for the verdict"
      : "Propose the change again with the same record id; it is applied at most once";
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

  /**
   * Returns the id and secret of a granted key, or a remedy when the grant has
   * been decided with a key whose secret this daemon does not have.
   */
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
        `The key was granted earlier and its secret is shown only once; withdraw it and grant another key to ${team}`,
    };
  }
}
