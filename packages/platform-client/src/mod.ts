/**
 * Client of the platform's log, VM list and weight store.
 *
 * @module
 */

export {};
