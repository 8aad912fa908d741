/**
 * Keeps the prefix index of the block chains that this VM owns, and queries
 * other owners for theirs.
 *
 * @module
 */

import type { PeerClients, PeerHandlers } from "@endivebend/peers";
import {
  type BlockReport,
  PrefixIndex,
  type PrefixLocation,
} from "@endivebend/routing";
import {
  type BackendServerId,
  type BlockHash,
  brandId,
  type VmEntry,
  type WeightsVersion,
} from "@endivebend/types";
import type { Identity, Metrics } from "../ports.ts";
import { ownerOf } from "./ownership.ts";

const HASH_BYTES = 8;
/** A longer lookup costs more time than a known prefix saves. */
const LOCATE_TIMEOUT_MS = 20;

/** Dependencies of {@link PrefixTask}. */
export interface PrefixTaskOptions {
  readonly identity: Identity;
  readonly entryVms: () => readonly VmEntry[];
  readonly peers: PeerClients;
  readonly metrics: Metrics;
}

/** The distributed prefix index as one router sees it. */
export class PrefixTask {
  readonly #options: PrefixTaskOptions;
  readonly #index = new PrefixIndex();

  constructor(options: PrefixTaskOptions) {
    this.#options = options;
  }

  /**
   * Returns the engines that hold the start of the block chain; empty when the
   * owner does not answer in time.
   */
  async locate(
    blocks: readonly BlockHash[],
  ): Promise<readonly PrefixLocation[]> {
    const root = blocks[0];
    if (root === undefined) return [];
    const owner = ownerOf(root, this.#options.entryVms());
    if (owner === undefined || owner.vmId === this.#options.identity.vmId) {
      return this.#index.locate(blocks);
    }
    return await this.#locateAtOwner(owner, blocks);
  }

  /** Sends the parts of a report to the owners of their blocks. */
  report(report: BlockReport): void {
    const entryVms = this.#options.entryVms();
    const reportByOwner = new Map<string, BlockReport>();
    if (report.reset === true) {
      for (const entry of entryVms) {
        reportByOwner.set(entry.vmId, { ...report, stored: [], evicted: [] });
      }
    }
    const ownerIdOf = (block: BlockHash) =>
      ownerOf(block, entryVms)?.vmId ?? this.#options.identity.vmId;
    addBlocks(reportByOwner, { report, ownerIdOf, field: "stored" });
    addBlocks(reportByOwner, { report, ownerIdOf, field: "evicted" });
    for (const entry of entryVms) {
      const ownerReport = reportByOwner.get(entry.vmId);
      if (ownerReport !== undefined) this.#deliver(entry, ownerReport);
    }
  }

  dropEngine(engine: BackendServerId): void {
    this.#index.dropEngine(engine);
  }

  /** Handlers of the peer calls that this task answers. */
  handlers(): Pick<PeerHandlers, "locatePrefix" | "reportBlocks"> {
    return {
      locatePrefix: (request) => {
        const blocks = request.blocks.map((block) => brandId<BlockHash>(block));
        const locations = this.#index.locate(blocks).map((location) => ({
          backendServerId: location.engine,
          incarnation: location.incarnation,
          weightsVersion: location.weightsVersion,
          depth: location.depth,
        }));
        return { locations };
      },
      reportBlocks: (request) => {
        this.#index.apply({
          engine: brandId<BackendServerId>(request.backendServerId),
          incarnation: request.incarnation,
          weightsVersion: brandId<WeightsVersion>(request.weightsVersion),
          reset: request.reset,
          stored: unpackHashes(request.stored),
          evicted: unpackHashes(request.evicted),
        });
        return {};
      },
    };
  }

  async #locateAtOwner(
    owner: VmEntry,
    blocks: readonly BlockHash[],
  ): Promise<readonly PrefixLocation[]> {
    try {
      const client = this.#options.peers.at(owner.address);
      const options = { timeoutMs: LOCATE_TIMEOUT_MS };
      const answer = await client.locatePrefix(
        { blocks: [...blocks] },
        options,
      );
      return answer.locations.map((location) => ({
        engine: brandId<BackendServerId>(location.backendServerId),
        incarnation: location.incarnation,
        weightsVersion: brandId<WeightsVersion>(location.weightsVersion),
        depth: location.depth,
      }));
    } catch {
      this.#options.metrics.increment("prefix.locate_failures");
      return [];
    }
  }

  #deliver(owner: VmEntry, report: BlockReport): void {
    if (owner.vmId === this.#options.identity.vmId) {
      this.#index.apply(report);
      return;
    }
    const call = this.#options.peers.at(owner.address).reportBlocks({
      backendServerId: report.engine,
      incarnation: report.incarnation,
      weightsVersion: report.weightsVersion,
      reset: report.reset === true,
      stored: packHashes(report.stored),
      evicted: packHashes(report.evicted),
    });
    // A lost report costs a cache miss, until the next full report repairs it.
    call.catch(() => {
      this.#options.metrics.increment("prefix.report_failures");
    });
  }
}

function addBlocks(
  reportByOwner: Map<string, BlockReport>,
  options: {
    readonly report: BlockReport;
    readonly ownerIdOf: (block: BlockHash) => string;
    readonly field: "stored" | "evicted";
  },
): void {
  const { report, ownerIdOf, field } = options;
  const grouped = new Map<string, BlockHash[]>();
  for (const block of report[field]) {
    const owner = ownerIdOf(block);
    const group = grouped.get(owner);
    if (group === undefined) grouped.set(owner, [block]);
    else group.push(block);
  }
  for (const [owner, blocks] of grouped) {
    const ownerReport = reportByOwner.get(owner) ??
      { ...report, stored: [], evicted: [] };
    reportByOwner.set(owner, { ...ownerReport, [field]: blocks });
  }
}

/** Packs block hashes of 16 hex digits into 8 bytes each. */
export function packHashes(hashes: readonly BlockHash[]): Uint8Array {
  return Buffer.from(hashes.join(""), "hex");
}

/** Reverses {@link packHashes}. */
export function unpackHashes(packed: Uint8Array): BlockHash[] {
  const hashes: BlockHash[] = [];
  for (
    let start = 0;
    start + HASH_BYTES <= packed.length;
    start += HASH_BYTES
  ) {
    const bytes = packed.subarray(start, start + HASH_BYTES);
    hashes.push(brandId<BlockHash>(Buffer.from(bytes).toString("hex")));
  }
  return hashes;
}
