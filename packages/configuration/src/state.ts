/**
 * The state that the `configuration` stream folds into.
 *
 * @module
 */

import type {
  KeyId,
  LogRecord,
  Sha256Digest,
  TeamId,
  TemplateName,
  VmId,
} from "@endivebend/types";
import { brandId } from "@endivebend/types";
import { DigestSet } from "./digest_set.ts";
import type { RouteRule, TeamView } from "./rules.ts";
import type { ParameterValues, TemplateBody } from "./template_schema.ts";
import type { Verdict } from "./verdicts.ts";

/** A template at its current revision. */
export interface Template {
  readonly name: TemplateName;
  readonly revision: number;
  readonly body: TemplateBody;
}

/** A team and the digests of its keys. */
export interface Team {
  readonly team: TeamId;
  readonly template: TemplateName;
  readonly parameters: ParameterValues;
  /** In the order of their grants. */
  readonly keyDigests: Sha256Digest[];
  /** Computed on demand; dropped when the template is amended. */
  view: TeamView | undefined;
}

/** A key that is in force. */
export interface Key {
  readonly digest: Sha256Digest;
  readonly team: Team;
}

/** A record that was judged lately. */
export interface DecidedRecord {
  /** Tells a repeated proposal from another one under the same id. */
  readonly fingerprint: string;
  /** Where the record stood first. */
  readonly offset: number;
  readonly verdict: Verdict;
}

/** The newest snapshot of which every part is in the log. */
export interface CompleteSnapshot {
  readonly snapshotId: string;
  readonly asOfOffset: number;
  /** When its first part was appended; it is whole only while that is kept. */
  readonly firstPartAtMs: number;
}

/** A snapshot of which parts are still missing. */
export interface PendingSnapshot {
  readonly asOfOffset: number;
  readonly firstPartAtMs: number;
  readonly count: number;
  readonly receivedParts: Set<number>;
  /** Entries by part; empty unless the state waits for a snapshot. */
  readonly entries: Map<number, readonly unknown[]>;
}

/** Records that wait for the snapshot that they build on. */
export interface AwaitedSnapshot {
  readonly firstOffset: number;
  readonly records: LogRecord[];
}

/** What the stream's records made so far. Change it only through this package. */
export interface ConfigurationState {
  /** Offset of the last record in force; -1 at the start. */
  appliedOffset: number;
  readonly templates: Map<TemplateName, Template>;
  readonly teams: Map<TeamId, Team>;
  /** Keys in force, by key id. */
  readonly keys: Map<KeyId, Key>;
  /** Digests that were withdrawn, never to be granted again. */
  readonly withdrawn: DigestSet;
  /** VMs whose drain is requested, with the revision of that request. */
  readonly drainRevisions: Map<VmId, number>;
  readonly judged: Map<string, DecidedRecord>;
  /** Open routes of all templates; computed on demand. */
  openRoutes: readonly RouteRule[] | undefined;
  /** Append time of the oldest record that was read; undefined at the start. */
  oldestAppendedAtMs: number | undefined;
  lastSnapshot: CompleteSnapshot | undefined;
  readonly pendingSnapshots: Map<string, PendingSnapshot>;
  awaitedSnapshot: AwaitedSnapshot | undefined;
}

/** Hexadecimal digits of a digest that form the key id. */
const KEY_ID_DIGITS = 24;

/**
 * The public id of a key: a prefix of its digest, from which the secret cannot
 * be found.
 */
export function keyIdOf(digest: Sha256Digest): KeyId {
  return brandId<KeyId>(`key-${digest.slice(0, KEY_ID_DIGITS)}`);
}

/**
 * Makes the state before the first record.
 *
 * @example
 * ```ts
 * const state = createConfigurationState();
 * for (const record of records) applyRecord(state, record);
 * ```
 */
export function createConfigurationState(): ConfigurationState {
  return {
    appliedOffset: -1,
    templates: new Map(),
    teams: new Map(),
    keys: new Map(),
    withdrawn: new DigestSet(),
    drainRevisions: new Map(),
    judged: new Map(),
    openRoutes: undefined,
    oldestAppendedAtMs: undefined,
    lastSnapshot: undefined,
    pendingSnapshots: new Map(),
    awaitedSnapshot: undefined,
  };
}
