/**
 * Failure scenarios over real processes.
 *
 * @module
 */

export {};
