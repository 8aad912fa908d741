/**
 * Client of the platform's log, VM list and weight store.
 *
 * @module
 */

export { createPlatformClient } from "./platform_client.ts";
export type {
  AppendAnswer,
  PlatformClient,
  PlatformClientOptions,
  ReadAnswer,
  ReadOptions,
} from "./platform_client.ts";
