/**
 * Small platform, engine, cache store and plain service for tests and the demo.
 *
 * @module
 */

export {};
