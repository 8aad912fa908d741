/**
 * Branded ids and records that other packages share.
 *
 * @module
 */

export * from "./ids.ts";
export * from "./records.ts";
export * from "./tokens.ts";
