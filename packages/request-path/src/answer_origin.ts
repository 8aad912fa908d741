/**
 * The server process that began an answer, by which another server may go on
 * with it.
 *
 * @module
 */

import type { BackendServerId } from "@endivebend/types";
import { hasOtherProcess } from "./process_check.ts";
import type { ServerRegistry } from "./server_registry.ts";
import type { ListedServer, SoftwareVersion } from "./types.ts";

/** The server of an attempt, as its entry was when the attempt was sent. */
export interface AnswerOrigin {
  readonly server: BackendServerId;
  readonly startedAtMs: number;
  /** Undefined when unknown. */
  readonly softwareVersion: SoftwareVersion | undefined;
}

/** The origin of an answer to an attempt that is sent to the server now. */
export function originAt(
  { id, startedAtMs, softwareVersion }: ListedServer,
): AnswerOrigin {
  return { server: id, startedAtMs, softwareVersion };
}

/**
 * The software version at which an answer may go on; undefined when it is
 * unknown, so that the answer may go on nowhere. Where the entry names another
 * version by now, or another process has the address, that process may have
 * begun the answer.
 *
 * @example
 * ```ts
 * const softwareVersion = versionToGoOn(originAt(server.listed), registry);
 * ```
 */
export function versionToGoOn(
  { server, startedAtMs, softwareVersion }: AnswerOrigin,
  registry: Pick<ServerRegistry, "get">,
): SoftwareVersion | undefined {
  const known = registry.get(server);
  if (known === undefined) return softwareVersion;
  const isReplaced = known.listed.softwareVersion !== softwareVersion ||
    (known.listed.startedAtMs === startedAtMs && hasOtherProcess(known));
  return isReplaced ? undefined : softwareVersion;
}
