/**
 * Secrets of keys whose grant is under way.
 *
 * @module
 */

import { createHash, randomBytes } from "node:crypto";
import { brandId, type Sha256Digest } from "@endivebend/types";

const SECRET_BYTES = 32;
const MAX_PENDING_GRANTS = 1_000;

/** A team key: the secret for the team, the digest for the log. */
export interface GrantedSecret {
  readonly secret: string;
  readonly digest: Sha256Digest;
}

/** Makes a key with 256 random bits. */
export function generateSecret(): GrantedSecret {
  const secret = `ebk_${randomBytes(SECRET_BYTES).toString("base64url")}`;
  const hex = createHash("sha256").update(secret).digest("hex");
  return { secret, digest: brandId<Sha256Digest>(hex) };
}

/**
 * Keeps the secret of a grant until its verdict is known, so that asking again
 * with the same record id after an unknown outcome gives the same key.
 */
export class GrantedSecrets {
  readonly #byRecordId = new Map<string, GrantedSecret>();

  /** The secret under a record id; made on the first call. */
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

  /** Drops the secret once its grant was answered. */
  discard(recordId: string): void {
    this.#byRecordId.delete(recordId);
  }
}
