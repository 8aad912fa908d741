/**
 * Gossip between daemons, and following and exchanging the records of a store.
 *
 * @module
 */

export { GossipChannel, SERVED_OVERDUE_MS } from "./gossip_channel.ts";
export type { GossipChannelOptions, PeerAddresses } from "./gossip_channel.ts";
export { createUdpTransport } from "./gossip_transport.ts";
export type {
  GossipTransport,
  UdpTransportOptions,
} from "./gossip_transport.ts";
export { FleetState } from "./fleet_state.ts";
export type {
  AppliedMessage,
  FleetMember,
  PeerSpending,
} from "./fleet_state.ts";
export { encodeDatagram, parseDatagram } from "./gossip_message.ts";
export type {
  CacheChange,
  ForwardingState,
  GossipBundle,
  GossipDatagram,
  GossipMessage,
  NamedWeightsAge,
  RelayedMessage,
  RolloutLeaseState,
  SeenServerLimit,
  WeightsProgress,
  WorkAtServer,
} from "./gossip_message.ts";
export { MIN_RELAYED_FLEET, planRelays, relaysOf } from "./relay_plan.ts";
export type { RelayCandidate, RelayPlan } from "./relay_plan.ts";
export { shouldReadTopic, topicReadAtMs } from "./reader_choice.ts";
export type { TopicReadInput } from "./reader_choice.ts";
export { RecordFollower } from "./record_follower.ts";
export type {
  KeyedRecord,
  RecordFollowerOptions,
  RecordSource,
  RecordsRead,
} from "./record_follower.ts";
export { RecordExchange } from "./record_exchange.ts";
export type { RecordExchangeOptions } from "./record_exchange.ts";
export { RecordTable } from "./record_table.ts";
export { BEFORE_FIRST, eraOf, logPosition, offsetOf } from "./log_position.ts";
export type { LogPosition } from "./log_position.ts";
export type {
  ContentOrder,
  RecordChanges,
  RecordListener,
  RecordListing,
} from "./record_table.ts";
