/**
 * What daemons tell each other, and how they follow the records of a store.
 *
 * @module
 */

export { FleetChannel } from "./fleet_channel.ts";
export type { FleetAddresses, FleetChannelOptions } from "./fleet_channel.ts";
export { FleetState } from "./fleet_state.ts";
export type { FleetMember, Heard, SpentElsewhere } from "./fleet_state.ts";
export { encodeFleetMessage, parseFleetMessage } from "./message.ts";
export type {
  DutyNote,
  FleetMessage,
  KeptNote,
  NamedAge,
  WeightsNote,
  WorkAtServer,
} from "./message.ts";
export { shouldRead } from "./reader_choice.ts";
export type { ReaderInput } from "./reader_choice.ts";
export { RecordFollower } from "./record_follower.ts";
export type {
  KeyedRecord,
  RecordFollowerOptions,
  RecordSource,
} from "./record_follower.ts";
export { RecordExchange } from "./record_exchange.ts";
export type { RecordExchangeOptions } from "./record_exchange.ts";
export { RecordTable } from "./record_table.ts";
export type { RecordListener } from "./record_table.ts";
