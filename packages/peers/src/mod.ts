/**
 * Connect RPC between daemons.
 *
 * @module
 */

export { createPeerClients } from "./clients.ts";
export type {
  PeerClient,
  PeerClientOptions,
  PeerClients,
  PeerTls,
} from "./clients.ts";
export { createPeerServer } from "./server.ts";
export type { PeerHandlers, PeerServerOptions } from "./server.ts";
export { CREDENTIAL_WINDOW_MS, signCall, verifyCall } from "./credential.ts";
export type { SignedCall, VerifiedCall } from "./credential.ts";
export { ReplayGuard } from "./replay_guard.ts";
export * from "./generated/endivebend/peers/v1/peers_pb.ts";
