/**
 * How requests take part in the move of a service to another software version:
 * which servers they may use, and what their answers tell of the versions.
 *
 * @module
 */

import type { KnownServer } from "./server_registry.ts";
import type { RoutedRequest } from "./types.ts";

/** Whether a request goes on with a stream that a version has begun. */
export interface VersionNeed {
  readonly goesOn: boolean;
  /** Whether a place is only looked up; nothing is sent and counted. */
  readonly isTrial?: boolean;
}

/** Chooses between versions, and is told of every attempt; `key` names it. */
export interface VersionChoice {
  /** Whether a request may use the server. */
  allows(
    server: KnownServer,
    request: RoutedRequest,
    need: VersionNeed,
  ): boolean;
  /** Whether a request that was refused a place tries the other version. */
  fallsBack(
    request: RoutedRequest,
    reason: string,
    need: VersionNeed,
  ): boolean;
  /** An attempt is sent. */
  sent(key: object, attempt: {
    readonly request: RoutedRequest;
    readonly server: KnownServer;
    readonly tokensToRead: number;
  }): void;
  /** The first event of its answer came. */
  began(key: object): void;
  /** Its answer is complete. */
  answered(key: object): void;
  /** Its server answered with a failure. */
  failed(key: object): void;
  /** Its connection was lost. */
  lost(key: object): void;
  /** It was ended for another reason; a call after another one is ignored. */
  dropped(key: object): void;
}
