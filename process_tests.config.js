/**
 * Configuration of the tests that measure processes of their own. They run one
 * at a time and apart from the others: `npx ava --config process_tests.config.js`.
 *
 * @module
 */

export default {
  files: ["packages/*/src/**/*_process_test.ts"],
  extensions: { ts: "module" },
  nodeArguments: ["--import=tsx"],
  timeout: "180s",
  workerThreads: false,
  concurrency: 1,
  serial: true,
};
