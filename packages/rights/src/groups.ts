/**
 * Maps teams to groups and encodes sets of groups.
 *
 * @module
 */

import {
  TEAM_GROUP_COUNT,
  type TeamGroup,
  type TeamId,
} from "@endivebend/types";

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const BITMAP_BYTES = TEAM_GROUP_COUNT / 8;

/** Hashes a text to 32 bits (FNV-1a with a finalizer). */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return mixBits(hash);
}

/** Mixes 32 bits so that every input bit affects every output bit. */
export function mixBits(value: number): number {
  let hash = value >>> 0;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Returns the group of a team, which is the same on every VM.
 *
 * @example
 * ```ts
 * groupOfTeam(brandId<TeamId>("st-mary")); // 0 to 1023
 * ```
 */
export function groupOfTeam(team: TeamId): TeamGroup {
  return (hashText(team) % TEAM_GROUP_COUNT) as TeamGroup;
}

/**
 * Encodes groups as a base64 bitmap of fixed length.
 *
 * @example
 * ```ts
 * decodeGroups(encodeGroups([3, 700])); // [3, 700]
 * ```
 */
export function encodeGroups(groups: Iterable<number>): string {
  const bitmap = Buffer.alloc(BITMAP_BYTES);
  for (const group of groups) {
    bitmap[group >> 3] = (bitmap[group >> 3] ?? 0) | (1 << (group & 7));
  }
  return bitmap.toString("base64");
}

/** Decodes a bitmap of groups; returns no groups for any other text. */
export function decodeGroups(text: string): TeamGroup[] {
  const bitmap = Buffer.from(text, "base64");
  if (bitmap.length !== BITMAP_BYTES) return [];
  const groups: TeamGroup[] = [];
  for (let group = 0; group < TEAM_GROUP_COUNT; group++) {
    const isSet = ((bitmap[group >> 3] ?? 0) >> (group & 7)) & 1;
    if (isSet === 1) groups.push(group as TeamGroup);
  }
  return groups;
}
