/**
 * TLS files, read again when they change.
 *
 * @module
 */

import { readFileSync, unwatchFile, watchFile } from "node:fs";
import type { TlsSettings } from "@endivebend/settings";

const CERTIFICATE_CHECK_INTERVAL_MS = 1000;

/** TLS material as text. */
export interface TlsMaterial {
  readonly cert: string;
  readonly key: string;
  readonly ca?: string;
}

/** TLS material of peers, which always check each other. */
export type PeerTlsMaterial = Required<TlsMaterial>;

/** Reads the files that TLS settings name. */
export function readTlsMaterial(tls: TlsSettings): TlsMaterial {
  const cert = readFileSync(tls.certFile, "utf8");
  const key = readFileSync(tls.keyFile, "utf8");
  if (tls.caFile === undefined) return { cert, key };
  return { cert, key, ca: readFileSync(tls.caFile, "utf8") };
}

/**
 * Reads the files of peers. Without `caFile` only the own certificate is
 * trusted, so that all daemons of the fleet must share one that is self-signed.
 */
export function readPeerTlsMaterial(tls: TlsSettings): PeerTlsMaterial {
  const material = readTlsMaterial(tls);
  return { ...material, ca: material.ca ?? material.cert };
}

/**
 * Calls `apply` after each change of the files; returns a function that ends
 * this. A pair of which only one file has changed yet makes `apply` throw; the
 * old pair stays then, and the next change is read again.
 */
export function watchTlsFiles(
  tls: TlsSettings,
  options: {
    readonly apply: () => void;
    readonly onReload?: ((failure: unknown) => void) | undefined;
  },
): () => void {
  const reload = () => {
    try {
      options.apply();
      options.onReload?.(undefined);
    } catch (caught) {
      options.onReload?.(caught);
    }
  };
  const files = [tls.certFile, tls.keyFile, tls.caFile]
    .filter((file) => file !== undefined);
  for (const file of files) {
    const interval = CERTIFICATE_CHECK_INTERVAL_MS;
    watchFile(file, { interval, persistent: false }, reload);
  }
  return () => files.forEach((file) => unwatchFile(file, reload));
}
