/**
 * Keeps the secrets of keys whose grant has no known verdict yet.
 *
 * @module
 */

import { createHash, randomBytes } from "node:crypto";
import { brandId, type Sha256Digest } from "@endivebend/types";

const SECRET_BYTES = 32;
const MAX_PENDING_GRANTS = 1_000;

/** A team key: the secret is given to the team, the digest is logged. */
export interface GrantedSecret {
  readonly secret: string;
  readonly digest: Sha256Digest;
}

/** Generates a key with 256 random bits. */
export function generateSecret(): GrantedSecret {
  const secret = `ebk_${randomBytes(SECRET_BYTES).toString("base64url")}`;
  const hex = createHash("sha256").update(secret).digest("hex");
  return { secret, digest: brandId<Sha256Digest>(hex) };
}

/**
 * Keeps the secret of a grant until its verdict is known, so that a retry with
 * the same record id after an unknown outcome returns the same key.
 */
export class GrantedSecrets {
  readonly #byRecordId = new Map<string, GrantedSecret>();

  /** Returns the secret for a record id; generates it on the first call. */
  getOrCreate(recordId: string): GrantedSecret {
    const known = this.#byRecordId.get(recordId);
    if (known !== undefined) return known;
    const generated = generateSecret();
    this.#byRecordId.set(recordId, generated);
    if (this.#byRecordId.size > MAX_PENDING_GRANTS) {
      const [oldest] = this.#byRecordId.keys();
      this.#byRecordId.delete(oldest!);
    }
    return generated;
  }

  /** Discards the secret after its grant has been answered. */
  discard(recordId: string): void {
    this.#byRecordId.delete(recordId);
  }
}
