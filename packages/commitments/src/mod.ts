/**
 * Decides which non-idempotent calls may be dispatched, replayed or refused.
 *
 * @module
 */

export {};
