/**
 * Branded identifiers. A brand prevents one kind of id from being passed where
 * another is expected. At run time each id is a plain string or number.
 *
 * @module
 */

declare const brand: unique symbol;

/** A value of type `Base` that is marked with `Name` at compile time only. */
export type Branded<Base, Name extends string> = Base & {
  readonly [brand]: Name;
};

/** A customer group with its own keys, rate and burst. */
export type TeamId = Branded<string, "TeamId">;
/** A machine as the platform's VM list names it. */
export type VmId = Branded<string, "VmId">;
/** One run of a process on a VM; a restart gets a new id. */
export type IncarnationId = Branded<string, "IncarnationId">;
/** A set of VMs that can fail or be cut off from the network together. */
export type FailureDomainId = Branded<string, "FailureDomainId">;
/** The name of a service that backend servers offer, such as `chime-llm`. */
export type ServiceName = Branded<string, "ServiceName">;
/**
 * A backend server: a model engine, a service instance or a cache store. Equal
 * to its VM id.
 */
export type BackendServerId = Branded<string, "BackendServerId">;
/** A caller's request; unique in the fleet. */
export type RequestId = Branded<string, "RequestId">;
/** One attempt to run a request at one backend server. */
export type AttemptId = Branded<string, "AttemptId">;
/** The public identifier of a team's key, with which the key is withdrawn. */
export type KeyId = Branded<string, "KeyId">;
/** SHA-256 of a secret, in lower-case hexadecimal. */
export type Sha256Digest = Branded<string, "Sha256Digest">;
/** The name of a team template. */
export type TemplateName = Branded<string, "TemplateName">;
/** The name of a model, as callers' requests give it. */
export type ModelName = Branded<string, "ModelName">;
/** A version of a model's weights. */
export type WeightsVersion = Branded<string, "WeightsVersion">;
/**
 * The hash of a prompt block in 16 hexadecimal digits. It covers the blocks
 * before it too.
 */
export type BlockHash = Branded<string, "BlockHash">;
/** The offset of a record in a stream of the platform's log. */
export type LogOffset = Branded<number, "LogOffset">;
/** The number of a group of teams, from 0 to `TEAM_GROUP_COUNT - 1`. */
export type TeamGroup = Branded<number, "TeamGroup">;
/** The unique id of a record, chosen by its writer. */
export type RecordId = Branded<string, "RecordId">;

/**
 * Casts `value` to the branded type that the caller names; checks nothing.
 *
 * @example
 * ```ts
 * const team = brandId<TeamId>("st-mary");
 * ```
 */
export function brandId<Id extends string | number>(
  value: Id extends string ? string : number,
): Id {
  return value as Id;
}
