/**
 * Keeps a stream complete and in order over several attempts.
 *
 * @module
 */

export {};
