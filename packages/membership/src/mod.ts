/**
 * Tracks entry VMs and backend servers from the platform's VM list, from peers
 * and from the servers' own answers.
 *
 * @module
 */

export { Membership } from "./membership.ts";
export type {
  MembershipOptions,
  PeerDescriptor,
  ServerObservation,
  ServerView,
} from "./membership.ts";
