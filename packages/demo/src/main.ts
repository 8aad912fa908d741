/**
 * Runs the README's demonstration.
 *
 * @module
 */

console.log("The demonstration is not written yet");
