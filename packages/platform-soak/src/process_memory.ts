/**
 * Reads from outside what memory a process has taken.
 *
 * @module
 */

import { readFileSync } from "node:fs";

const BYTES_PER_KIB = 1_024;

/** The largest resident memory of the process; NaN when it has ended. */
export function readPeakBytes(pid: number | undefined): number {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const kib = /^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1];
    return Number(kib ?? Number.NaN) * BYTES_PER_KIB;
  } catch {
    // The process has ended between two looks at it.
    return Number.NaN;
  }
}
