/**
 * Measures slopes for the capacity page.
 *
 * @module
 */

export {};
