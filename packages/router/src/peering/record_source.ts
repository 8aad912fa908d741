/**
 * Takes log records from the most advanced peer.
 *
 * @module
 */

import type { PeerClients, PeerView } from "@endivebend/peers";
import {
  brandId,
  type LogOffset,
  type LogRecord,
  type LogStream,
  type VmEntry,
} from "@endivebend/types";
import type { PeerRecords, PeerRecordSource } from "../log/log_client.ts";

const FETCH_LIMIT = 1000;

/** Remembers how far each peer is, and fetches what this daemon lacks. */
export class PeerRecordFetcher implements PeerRecordSource {
  readonly #peers: PeerClients;
  readonly #entryOf: (vmId: string) => VmEntry | undefined;
  readonly #applied = new Map<string, Map<string, number>>();

  constructor(options: {
    readonly peers: PeerClients;
    readonly entryOf: (vmId: string) => VmEntry | undefined;
  }) {
    this.#peers = options.peers;
    this.#entryOf = options.entryOf;
  }

  /** Notes how far a peer is. */
  noteView(view: PeerView): void {
    const applied = Object.entries(view.appliedOffsets).map((
      [stream, nextOffset],
    ): [string, number] => [stream, Number(nextOffset)]);
    this.#applied.set(view.vmId, new Map(applied));
  }

  async fetch(
    stream: LogStream,
    fromOffset: number,
  ): Promise<PeerRecords | undefined> {
    for (const { vmId, nextOffset } of this.#peersByProgress(stream)) {
      if (nextOffset < fromOffset) return undefined;
      const entry = this.#entryOf(vmId);
      if (entry === undefined) continue;
      const answer = await this.#fetchFrom(entry, { stream, fromOffset });
      if (answer !== undefined) return answer;
    }
    return undefined;
  }

  #peersByProgress(stream: LogStream) {
    return [...this.#applied]
      .map(([vmId, offsets]) => ({
        vmId,
        nextOffset: offsets.get(stream) ?? -1,
      }))
      .filter(({ nextOffset }) => nextOffset >= 0)
      .sort((left, right) => right.nextOffset - left.nextOffset);
  }

  async #fetchFrom(
    entry: VmEntry,
    want: { readonly stream: LogStream; readonly fromOffset: number },
  ): Promise<PeerRecords | undefined> {
    try {
      const answer = await this.#peers.at(entry.address).fetchRecords({
        stream: want.stream,
        fromOffset: BigInt(want.fromOffset),
        limit: FETCH_LIMIT,
      });
      const records = answer.records.map((record): LogRecord => ({
        offset: brandId<LogOffset>(Number(record.offset)),
        appendedAtMs: Number(record.appendedAtMs),
        value: JSON.parse(record.valueJson),
      }));
      const nextOffset = Number(answer.nextOffset);
      if (answer.snapshotJson === "") return { records, nextOffset };
      const offset = Number(answer.snapshotOffset);
      const snapshot = { json: answer.snapshotJson, offset };
      return { records, nextOffset, snapshot };
    } catch {
      return undefined;
    }
  }
}
