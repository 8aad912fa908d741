/**
 * Fences orders to engines and bounds concurrent weight loads.
 *
 * @module
 */

export {};
