/**
 * Replays traces in virtual time against baselines.
 *
 * @module
 */

export {};
