/**
 * The server process that began an answer, by which another server may go on
 * with it.
 *
 * @module
 */

import type { BackendServerId } from "@endivebend/types";
import type { ServerRegistry } from "./server_registry.ts";
import type { ListedServer, SoftwareVersion } from "./types.ts";

/** The server of an attempt, as its entry was when the attempt was sent. */
export interface AnswerOrigin {
  readonly server: BackendServerId;
  /** Undefined when unknown. */
  readonly softwareVersion: SoftwareVersion | undefined;
}

/** The origin of an answer to an attempt that is sent to the server now. */
export function originAt({ id, softwareVersion }: ListedServer): AnswerOrigin {
  return { server: id, softwareVersion };
}

/**
 * The software version at which an answer may go on; undefined when it is
 * unknown, so that the answer may go on nowhere. An entry that names another
 * version by now may be that of the process that began the answer.
 *
 * @example
 * ```ts
 * const softwareVersion = versionToGoOn(originAt(server.listed), registry);
 * ```
 */
export function versionToGoOn(
  { server, softwareVersion }: AnswerOrigin,
  registry: Pick<ServerRegistry, "get">,
): SoftwareVersion | undefined {
  const listed = registry.get(server)?.listed;
  const isOther = listed !== undefined &&
    listed.softwareVersion !== softwareVersion;
  return isOther ? undefined : softwareVersion;
}
