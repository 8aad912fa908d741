/**
 * Connect RPC between daemons.
 *
 * @module
 */

export { createPeerClients } from "./clients.ts";
export type { PeerClient, PeerClientOptions, PeerClients } from "./clients.ts";
export { createPeerServer } from "./server.ts";
export type { PeerHandlers, PeerServerOptions } from "./server.ts";
export { signCall, verifyCall } from "./credential.ts";
export * from "./generated/endivebend/peers/v1/peers_pb.ts";
