/**
 * Appends the withdrawals of blocked keys once the log answers again.
 *
 * @module
 */

import { keyIdOf } from "@endivebend/configuration";
import type { Sha256Digest } from "@endivebend/types";
import type { Clock, FollowedStream } from "../ports.ts";
import type { BlockedKey, BlockedKeys } from "./blocked_keys.ts";

const APPEND_TIMEOUT_MS = 2_000;
/**
 * Age of a block before any VM appends its withdrawal: the operator's own
 * proposal may be in progress for about this long.
 */
const ORIGIN_DELAY_MS = 5_000;
/** Additional delay of each further VM in rendezvous order. */
const DELAY_PER_RANK_MS = 5_000;
const MAX_APPENDS_PER_ROUND = 100;

/** Dependencies of {@link WithdrawalAppender}. */
export interface WithdrawalAppenderOptions {
  readonly blocked: BlockedKeys;
  readonly stream: () => FollowedStream;
  readonly clock: Clock;
  readonly isInForce: (digest: Sha256Digest) => boolean;
  /** Zero-based rank of this VM in the rendezvous order of a digest. */
  readonly rank: (digest: Sha256Digest) => number;
}

/**
 * Makes withdrawals durable. The VM that received the operator's withdrawal
 * appends first. The other VMs append later if it has not, because it may end
 * before the log answers. Withdrawing a key twice is accepted, and the record
 * id is the same on every VM.
 */
export class WithdrawalAppender {
  readonly #options: WithdrawalAppenderOptions;
  #isAppending = false;

  constructor(options: WithdrawalAppenderOptions) {
    this.#options = options;
  }

  /** Appends the pending withdrawals; stops at the first failed append. */
  async appendPending(): Promise<void> {
    if (this.#isAppending) return;
    this.#isAppending = true;
    try {
      const dueKeys = this.#options.blocked.entries()
        .filter((key) => this.#isDue(key))
        .slice(0, MAX_APPENDS_PER_ROUND);
      for (const { digest } of dueKeys) {
        if (!await this.#append(digest)) return;
      }
    } finally {
      this.#isAppending = false;
    }
  }

  #isDue({ digest, sinceElapsedMs, isOrigin }: BlockedKey): boolean {
    if (!this.#options.isInForce(digest)) return false;
    const ageMs = this.#options.clock.elapsedMs() - sinceElapsedMs;
    if (isOrigin) return ageMs >= ORIGIN_DELAY_MS;
    const rank = this.#options.rank(digest) + 1;
    return ageMs >= ORIGIN_DELAY_MS + rank * DELAY_PER_RANK_MS;
  }

  async #append(digest: Sha256Digest): Promise<boolean> {
    const { clock, stream } = this.#options;
    const keyId = keyIdOf(digest);
    const record = {
      recordId: `withdraw-blocked-${keyId}`,
      kind: "key_withdrawn",
      keyId,
    };
    const deadlineElapsedMs = clock.elapsedMs() + APPEND_TIMEOUT_MS;
    const result = await stream().append(record, { deadlineElapsedMs });
    return result.kind === "appended";
  }
}
