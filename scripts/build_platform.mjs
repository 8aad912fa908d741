/**
 * Bundles the daemon for the users' platform into `target/`.
 *
 * @module
 */

import { build } from "esbuild";

await build({
  entryPoints: ["packages/platform/src/main.ts"],
  outfile: "target/endivebend.cjs",
  bundle: true,
  minify: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  logLevel: "warning",
});
