/**
 * Runs the README's demonstration.
 *
 * @module
 */

export {};
