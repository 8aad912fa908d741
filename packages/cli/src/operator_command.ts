/**
 * The base of commands that call a daemon.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { readFile } from "node:fs/promises";
import { Option } from "clipanion";
import { parseAddress } from "@endivebend/settings";
import { BaseCommand } from "./base_command.ts";
import { failCommand, failUsage } from "./command_error.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import { OperatorClient, type OperatorTls } from "./operator_client.ts";

/** The verdict that a daemon gives on a change. */
export interface VerdictBody {
  readonly verdict: "accepted" | "refused" | "unknown";
  readonly recordId: string;
  readonly offset?: number;
  readonly revision?: number;
  readonly field?: string;
  readonly message?: string;
  readonly remedy?: string;
  readonly currentRevision?: number | null;
  readonly keyId?: string;
  readonly secret?: string;
  readonly blocked?: boolean;
}

/** A command with the options of the connection. */
export abstract class OperatorCommand extends BaseCommand {
  operatorAddress = Option.String("--operator-address", {
    env: "ENDIVEBEND_OPERATOR_ADDRESS",
    description: "IP number and port of a daemon's operators' listener",
  });
  operatorKey = Option.String("--operator-key", {
    env: "ENDIVEBEND_OPERATOR_KEY",
    description: "Operator key; the environment keeps it off the process list",
  });
  operatorCa = Option.String("--operator-ca", {
    env: "ENDIVEBEND_OPERATOR_CA",
    description: "File of the certificate authority; turns TLS on",
  });
  operatorCert = Option.String("--operator-cert", {
    env: "ENDIVEBEND_OPERATOR_CERT",
    description: "File of the client certificate, where the listener asks",
  });
  operatorCertKey = Option.String("--operator-cert-key", {
    env: "ENDIVEBEND_OPERATOR_CERT_KEY",
    description: "File of the client certificate's private key",
  });

  /** Does the work with a client that is closed afterwards. */
  abstract call(client: OperatorClient): Promise<ExitCode>;

  async perform(): Promise<ExitCode> {
    const client = await this.#createClient();
    try {
      return await this.call(client);
    } finally {
      await client.close();
    }
  }

  async #createClient(): Promise<OperatorClient> {
    const { operatorAddress: address, operatorKey: key } = this;
    if (address === undefined || parseAddress(address) === undefined) {
      throw failUsage(
        `The operator address is ${address ?? "not given"}`,
        "Give --operator-address or ENDIVEBEND_OPERATOR_ADDRESS, such as 10.0.0.4:7002",
      );
    }
    if (key === undefined || key === "") {
      throw failUsage(
        "No operator key is given",
        "Give --operator-key or ENDIVEBEND_OPERATOR_KEY",
      );
    }
    const tls = await this.#readTls();
    return new OperatorClient({
      address,
      key,
      ...(tls === undefined ? {} : { tls }),
    });
  }

  async #readTls(): Promise<OperatorTls | undefined> {
    const { operatorCa, operatorCert, operatorCertKey } = this;
    if (operatorCa === undefined) return undefined;
    try {
      const ca = await readFile(operatorCa, "utf8");
      if (operatorCert === undefined || operatorCertKey === undefined) {
        return { ca };
      }
      const cert = await readFile(operatorCert, "utf8");
      const key = await readFile(operatorCertKey, "utf8");
      return { ca, cert, key };
    } catch (cause) {
      const reason = cause instanceof Error ? cause.message : String(cause);
      throw failUsage(
        `A TLS file cannot be read: ${reason}`,
        "Give paths of files that this user can read",
      );
    }
  }
}

/** A command that proposes a change. */
export abstract class ChangeCommand extends OperatorCommand {
  recordId = Option.String("--record-id", {
    description:
      "Id of the change; repeat a command whose outcome is unknown with its id",
  });

  /** Proposes, prints an accepted verdict, and throws any other one. */
  protected async propose(
    client: OperatorClient,
    change: {
      readonly path?: string;
      readonly body: Readonly<Record<string, unknown>>;
      readonly describe: (verdict: VerdictBody) => string;
    },
  ): Promise<ExitCode> {
    const recordId = this.recordId ?? randomUUID();
    const path = change.path ?? "/operator/v1/changes";
    const answer = await client.post(path, { ...change.body, recordId });
    const verdict = answer.body as VerdictBody;
    if (verdict.verdict === "accepted") {
      return this.print(verdict, change.describe(verdict));
    }
    if (this.json) this.print(verdict, "");
    throw toError({ ...verdict, recordId });
  }
}

function toError(verdict: VerdictBody) {
  const { recordId, field, remedy = "" } = verdict;
  if (verdict.verdict === "refused") {
    const { currentRevision: revision } = verdict;
    const suffix = typeof revision === "number"
      ? `; the current revision is ${revision}`
      : "";
    return failCommand(`The change was refused: ${verdict.message}${suffix}`, {
      exitCode: EXIT_CODES.refused,
      remedy,
      ...(field === undefined ? {} : { field }),
      recordId,
    });
  }
  const secret = verdict.secret === undefined
    ? ""
    : `; if it comes into force, the key is ${verdict.secret}`;
  return failCommand(
    `The outcome is unknown: ${verdict.message}${secret}`,
    {
      exitCode: EXIT_CODES.outcomeUnknown,
      remedy: `${remedy} (--record-id ${recordId})`,
      recordId,
    },
  );
}
