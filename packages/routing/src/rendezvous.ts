/**
 * Rendezvous hashing: every VM ranks the members of a set in the same order
 * for a key, and adding or removing a member moves only that member's keys.
 *
 * @module
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Returns the members in rendezvous order for `key`, highest weight first.
 * Members must be distinct.
 *
 * @example
 * ```ts
 * const [watcher] = rankByRendezvous(engineId, vmIds);
 * ```
 */
export function rankByRendezvous<Member extends string>(
  key: string,
  members: readonly Member[],
): Member[] {
  const weighted = members.map((member) => ({
    member,
    weight: rendezvousWeight(key, member),
  }));
  weighted.sort((a, b) =>
    b.weight - a.weight || compareIds(a.member, b.member)
  );
  return weighted.map((entry) => entry.member);
}

/**
 * Returns the first member in rendezvous order without sorting the others, or
 * `undefined` when there is none.
 *
 * @example
 * ```ts
 * const owner = firstByRendezvous(ownerKeyOf(block), vmIds);
 * ```
 */
export function firstByRendezvous<Member extends string>(
  key: string,
  members: readonly Member[],
): Member | undefined {
  let best: Member | undefined;
  let bestWeight = -1;
  for (const member of members) {
    const weight = rendezvousWeight(key, member);
    const isBetter = weight > bestWeight ||
      (weight === bestWeight && best !== undefined && member < best);
    if (isBetter) {
      best = member;
      bestWeight = weight;
    }
  }
  return best;
}

/**
 * Returns the weight of a member for a key, an unsigned 32-bit integer.
 *
 * @example
 * ```ts
 * const weight = rendezvousWeight("a3f", "vm-1");
 * ```
 */
export function rendezvousWeight(key: string, member: string): number {
  let hash = hashFnv1a(FNV_OFFSET, key);
  hash = Math.imul(hash ^ 0xff, FNV_PRIME);
  return finalizeMurmur3(hashFnv1a(hash, member));
}

function hashFnv1a(start: number, text: string): number {
  let hash = start;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash;
}

// The finalizer of MurmurHash3. With FNV-1a alone, keys that differ only at
// their end have similar high bits, which decide the comparison of weights.
function finalizeMurmur3(value: number): number {
  let hash = value ^ (value >>> 16);
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  hash ^= hash >>> 16;
  return hash >>> 0;
}

function compareIds(a: string, b: string): number {
  if (a === b) {
    return 0;
  }
  return a < b ? -1 : 1;
}
