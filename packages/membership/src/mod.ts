/**
 * Keeps the view of entry VMs and backend servers from the platform's list,
 * from peers and from answers of the servers themselves.
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
