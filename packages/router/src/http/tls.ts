/**
 * Reads TLS files and reloads them when they change.
 *
 * @module
 */

import { readFileSync, unwatchFile, watchFile } from "node:fs";
import type { TlsSettings } from "@endivebend/settings";

const CERTIFICATE_CHECK_INTERVAL_MS = 1000;

/** Certificate, private key and certificate authorities, as PEM text. */
export interface TlsMaterial {
  readonly cert: string;
  readonly key: string;
  readonly ca?: string;
}

/** TLS material of peers, which always verify each other's certificate. */
export type PeerTlsMaterial = Required<TlsMaterial>;

/** Reads the files named in TLS settings. Throws when one cannot be read. */
export function readTlsMaterial(tls: TlsSettings): TlsMaterial {
  const cert = readFileSync(tls.certFile, "utf8");
  const key = readFileSync(tls.keyFile, "utf8");
  if (tls.caFile === undefined) return { cert, key };
  return { cert, key, ca: readFileSync(tls.caFile, "utf8") };
}

/**
 * Reads the TLS files of the peers' listener. Without `caFile` only the
 * daemon's own certificate is trusted, so all daemons of the fleet must share
 * one self-signed certificate.
 */
export function readPeerTlsMaterial(tls: TlsSettings): PeerTlsMaterial {
  const material = readTlsMaterial(tls);
  return { ...material, ca: material.ca ?? material.cert };
}

/**
 * Calls `apply` after each change of a file, until the returned function is
 * called. When only one file of a certificate and key pair has changed so far,
 * `apply` throws. The old pair then stays in use until the next change.
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
