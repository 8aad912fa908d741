/**
 * The state built from the records of the `configuration` stream.
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
  /** In the order in which the keys were granted. */
  readonly keyDigests: Sha256Digest[];
  /** Computed on demand; cleared when the template is amended. */
  view: TeamView | undefined;
}

/** A granted key that has not been withdrawn. */
export interface Key {
  readonly digest: Sha256Digest;
  readonly team: Team;
}

/** A recently decided record. */
export interface DecidedRecord {
  /** Distinguishes a repeated proposal from another one with the same id. */
  readonly fingerprint: string;
  /** Offset at which the record first appeared. */
  readonly offset: number;
  readonly verdict: Verdict;
}

/** The newest snapshot of which every part has been read from the log. */
export interface CompleteSnapshot {
  readonly snapshotId: string;
  readonly asOfOffset: number;
  /**
   * When its first part was appended. The snapshot stays complete only while
   * the log retains that part.
   */
  readonly firstPartAtMs: number;
}

/** A snapshot with parts still missing. */
export interface PendingSnapshot {
  readonly asOfOffset: number;
  readonly firstPartAtMs: number;
  readonly count: number;
  readonly receivedParts: Set<number>;
  /** Entries by part index; empty unless the state waits for a snapshot. */
  readonly entries: Map<number, readonly unknown[]>;
}

/** The snapshot that the state waits for, and the records deferred for it. */
export interface AwaitedSnapshot {
  readonly firstOffset: number;
  readonly records: LogRecord[];
}

/** Result of the records applied so far. Only this package may modify it. */
export interface ConfigurationState {
  /** Offset of the last applied record; -1 before the first one. */
  appliedOffset: number;
  readonly templates: Map<TemplateName, Template>;
  readonly teams: Map<TeamId, Team>;
  /** Valid keys by key id. */
  readonly keys: Map<KeyId, Key>;
  /** Digests of withdrawn keys, which are never granted again. */
  readonly withdrawn: DigestSet;
  /** Revision of the drain request, by VM. */
  readonly drainRevisions: Map<VmId, number>;
  readonly judged: Map<string, DecidedRecord>;
  /** Open routes of all templates; computed on demand. */
  openRoutes: readonly RouteRule[] | undefined;
  /** Append time of the oldest record read; undefined before the first. */
  oldestAppendedAtMs: number | undefined;
  lastSnapshot: CompleteSnapshot | undefined;
  readonly pendingSnapshots: Map<string, PendingSnapshot>;
  awaitedSnapshot: AwaitedSnapshot | undefined;
}

/** Hexadecimal digits of a digest that form the key id. */
const KEY_ID_DIGITS = 24;

/**
 * Returns the public id of a key: a prefix of its digest, from which the secret
 * cannot be recovered.
 */
export function keyIdOf(digest: Sha256Digest): KeyId {
  return brandId<KeyId>(`key-${digest.slice(0, KEY_ID_DIGITS)}`);
}

/**
 * Creates the empty state, before the first record.
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
