/**
 * Fetches log records from the most advanced peer.
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

/** Tracks the offsets of each peer, and fetches records that are missing. */
export class PeerRecordFetcher implements PeerRecordSource {
  readonly #peers: PeerClients;
  readonly #entryOfPeer: (vmId: string) => VmEntry | undefined;
  readonly #offsetsByPeer = new Map<string, Map<string, number>>();

  constructor(options: {
    readonly peers: PeerClients;
    readonly entryOfPeer: (vmId: string) => VmEntry | undefined;
  }) {
    this.#peers = options.peers;
    this.#entryOfPeer = options.entryOfPeer;
  }

  /** Records the offsets up to which a peer has applied the streams. */
  recordView(view: PeerView): void {
    const offsets = Object.entries(view.appliedOffsets).map((
      [stream, nextOffset],
    ): [string, number] => [stream, Number(nextOffset)]);
    this.#offsetsByPeer.set(view.vmId, new Map(offsets));
  }

  async fetch(
    stream: LogStream,
    fromOffset: number,
  ): Promise<PeerRecords | undefined> {
    for (const { vmId, nextOffset } of this.#peersByProgress(stream)) {
      if (nextOffset < fromOffset) return undefined;
      const entry = this.#entryOfPeer(vmId);
      if (entry === undefined) continue;
      const answer = await this.#fetchFrom(entry, { stream, fromOffset });
      if (answer !== undefined) return answer;
    }
    return undefined;
  }

  #peersByProgress(stream: LogStream) {
    return [...this.#offsetsByPeer]
      .map(([vmId, offsets]) => ({
        vmId,
        nextOffset: offsets.get(stream) ?? -1,
      }))
      .filter(({ nextOffset }) => nextOffset >= 0)
      .sort((left, right) => right.nextOffset - left.nextOffset);
  }

  async #fetchFrom(
    entry: VmEntry,
    request: { readonly stream: LogStream; readonly fromOffset: number },
  ): Promise<PeerRecords | undefined> {
    try {
      const answer = await this.#peers.at(entry.address).fetchRecords({
        stream: request.stream,
        fromOffset: BigInt(request.fromOffset),
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
