/**
 * Selects the engine of one attempt from the state of this router and of the
 * prefix owners.
 *
 * @module
 */

import { createError } from "@endivebend/errors";
import {
  assertHitIsCurrent,
  cacheSalt,
  type CacheStoreSource,
  chooseEngine,
  type EngineCandidate,
  type EngineTag,
  hashBlocksWithSalt,
  isSameTag,
  type PrefixLocation,
  type RoutePlan,
} from "@endivebend/routing";
import {
  type BackendServerId,
  type BlockHash,
  brandId,
  type ModelName,
  type RequestId,
  type ServiceName,
  type TeamId,
  type VmEntry,
  type WeightsVersion,
} from "@endivebend/types";
import type {
  BackendServerView,
  Clock,
  Explainer,
  MembershipView,
} from "../ports.ts";
import type { EngineDirectory } from "./engine_directory.ts";
import type { PrefixTask } from "./prefix_task.ts";

/** Retry time sent to callers when no engine takes new work. */
const NO_ENGINE_RETRY_MS = 1000;
const MAX_EXPLAINED_ENGINES = 8;

/** The attempt to select an engine for. */
export interface SelectionInput {
  readonly requestId: RequestId;
  readonly team: TeamId;
  readonly model: ModelName;
  readonly promptText: string;
  readonly promptTokens: number;
  /** Weights that a started stream must continue with; undefined before. */
  readonly weightsVersion: WeightsVersion | undefined;
  /** Engines that failed this request; used only when there is no other. */
  readonly avoidedEngines: ReadonlySet<BackendServerId>;
}

/** The engine selected for an attempt. */
export interface Selection {
  readonly entry: VmEntry;
  readonly plan: RoutePlan;
  readonly salt: string;
  readonly blocks: readonly BlockHash[];
  readonly importAddress: string | undefined;
}

/** Dependencies of {@link EngineSelector}. */
export interface EngineSelectorOptions {
  readonly membership: MembershipView;
  readonly directory: EngineDirectory;
  readonly prefixes: PrefixTask;
  readonly clock: Clock;
  readonly explainer: Explainer;
  /** Secret that keeps a team from computing another team's salts. */
  readonly saltSecret: string;
}

interface HashedPrompt {
  readonly salt: string;
  readonly blocks: readonly BlockHash[];
  readonly locations: readonly PrefixLocation[];
}

/** Selects engines for one router. */
export class EngineSelector {
  readonly #options: EngineSelectorOptions;
  readonly #salts = new Map<string, string>();

  constructor(options: EngineSelectorOptions) {
    this.#options = options;
  }

  /** Throws `no_backend_server` when no engine can take the attempt. */
  async select(input: SelectionInput): Promise<Selection> {
    const servers = this.#usableServers(input);
    const versions = new Set(servers.map((server) => versionOf(server)));
    const prompts = new Map<WeightsVersion, HashedPrompt>();
    for (const version of versions) {
      prompts.set(version, await this.#hashPrompt(input, version));
    }
    const candidates = servers.map((server) =>
      this.#candidate(server, prompts.get(versionOf(server))!)
    );
    return this.#choose(input, { servers, candidates, prompts });
  }

  #usableServers(input: SelectionInput): readonly BackendServerView[] {
    const service = brandId<ServiceName>(input.model);
    const listed = this.#options.membership.backendServers(service);
    const matching = listed.filter((server) =>
      server.takesNewWork && server.entry.role === "engine" &&
      (input.weightsVersion === undefined ||
        server.weightsVersion === input.weightsVersion)
    );
    const usable = applyPreferences(matching, [
      (server) => !input.avoidedEngines.has(server.id),
      (server) => !server.isStale,
    ]);
    if (usable.length > 0) return usable;
    this.#options.explainer.record(input.requestId, {
      step: "route",
      known: listed.map(describeServer),
      chosen: "none",
    });
    const message = `No engine for model ${input.model} takes new work`;
    throw createError("no_backend_server", message, {
      retryAfterMs: NO_ENGINE_RETRY_MS,
    });
  }

  async #hashPrompt(
    input: SelectionInput,
    version: WeightsVersion,
  ): Promise<HashedPrompt> {
    const salt = this.#saltOf(input.team, { model: input.model, version });
    // Blocks of unknown weights must not match blocks of weights known later.
    const blocks = version === ""
      ? []
      : hashBlocksWithSalt(input.promptText, salt);
    const locations = blocks.length === 0
      ? []
      : await this.#options.prefixes.locate(blocks);
    return { salt, blocks, locations };
  }

  #saltOf(
    team: TeamId,
    target: { readonly model: ModelName; readonly version: WeightsVersion },
  ): string {
    const key = JSON.stringify([team, target.model, target.version]);
    const known = this.#salts.get(key);
    if (known !== undefined) return known;
    const salt = cacheSalt({
      team,
      model: target.model,
      weightsVersion: target.version,
      secret: this.#options.saltSecret,
    });
    if (this.#salts.size > 10_000) this.#salts.clear();
    this.#salts.set(key, salt);
    return salt;
  }

  #candidate(
    server: BackendServerView,
    prompt: HashedPrompt,
  ): EngineCandidate {
    const { clock, directory } = this.#options;
    const nowMs = clock.elapsedMs();
    const tag: EngineTag = {
      engine: server.id,
      incarnation: server.incarnation ?? "",
      weightsVersion: versionOf(server),
    };
    const known = directory.load(server.id);
    const sinceMs = known?.asOfElapsedMs ?? 0;
    const placed = directory.placements.prefillTokensSince(tag, {
      sinceMs,
      nowMs,
    });
    // No spread of the tag: it costs 2.6 us per object, once per engine.
    return {
      engine: tag.engine,
      incarnation: tag.incarnation,
      weightsVersion: tag.weightsVersion,
      state: "live",
      hitBlocks: this.#hitBlocks(tag, prompt),
      queuedPrefillTokens: (known?.load.queuedTokens ?? 0) + placed,
      costs: directory.costsOf(server.id),
    };
  }

  #hitBlocks(tag: EngineTag, prompt: HashedPrompt): number {
    // Cached blocks can be attributed only to a known incarnation.
    if (tag.incarnation === "") return 0;
    const located = prompt.locations.find((location) =>
      isSameTag(location, tag)
    );
    const nowMs = this.#options.clock.elapsedMs();
    const { blocks } = prompt;
    const placed = this.#options.directory.placements.depth(tag, {
      blocks,
      nowMs,
    });
    return Math.max(located?.depth ?? 0, placed);
  }

  #choose(
    input: SelectionInput,
    options: {
      readonly servers: readonly BackendServerView[];
      readonly candidates: readonly EngineCandidate[];
      readonly prompts: ReadonlyMap<WeightsVersion, HashedPrompt>;
    },
  ): Selection {
    // Candidates with different weights have different block chains. The first
    // chain breaks ties; hits are already counted per weights version.
    const [first] = options.prompts.values();
    const request = {
      blocks: first?.blocks ?? [],
      promptTokens: input.promptTokens,
    };
    // With two weights versions in use, a store's depth is valid for only one.
    const stores = options.prompts.size === 1 && first !== undefined
      ? this.#findStores(first)
      : [];
    const plan = chooseEngine(request, options.candidates, { stores });
    const server = options.servers.find(({ id }) => id === plan?.engine);
    if (plan === undefined || server === undefined) {
      throw createError(
        "no_backend_server",
        "No live engine matches the request",
      );
    }
    const prompt = options.prompts.get(versionOf(server))!;
    this.#options.explainer.record(input.requestId, {
      step: "route",
      known: { blocks: prompt.blocks.length, locations: prompt.locations },
      weighed: bestCandidates(plan),
      chosen: plan.engine,
    });
    return {
      entry: server.entry,
      plan,
      salt: prompt.salt,
      blocks: prompt.blocks,
      importAddress: this.#importAddress(plan),
    };
  }

  /**
   * Finds the cache stores that hold the start of the block chain. The hashes
   * include the weights version, so a store is identified by its incarnation
   * only.
   */
  #findStores(prompt: HashedPrompt): CacheStoreSource[] {
    return prompt.locations.flatMap(({ engine, incarnation, depth }) => {
      const server = this.#options.membership.backendServer(engine);
      // Only its watcher learns a store's incarnation; elsewhere the location's
      // is used, and an outdated one costs only the time of a failed import.
      const known = server?.incarnation ?? incarnation;
      const isStore = server?.entry.role === "cache_store" &&
        server.takesNewWork && known === incarnation;
      return isStore ? [{ id: engine, depth }] : [];
    });
  }

  /** Whether no daemon has reported on the engine for a while. */
  isStale(engine: BackendServerId): boolean {
    return this.#options.membership.backendServer(engine)?.isStale ?? true;
  }

  /**
   * Whether the engine is still the incarnation that the selection counts on.
   * Asserts that the expected hits are of the current weights and salt.
   */
  isCurrent({ plan, salt }: Selection): boolean {
    const server = this.#options.membership.backendServer(plan.engine);
    if (server === undefined || !server.takesNewWork) return false;
    if (plan.expectedHitBlocks === 0) return true;
    const tag: EngineTag = {
      engine: plan.engine,
      incarnation: server.incarnation ?? "",
      weightsVersion: versionOf(server),
    };
    if (!isSameTag(plan.tag, tag)) return false;
    assertHitIsCurrent({ ...plan.tag, salt }, { tag, salt });
    return true;
  }

  #importAddress(plan: RoutePlan): string | undefined {
    const source = plan.importPlan?.source ?? plan.fallbackStore;
    if (source === undefined) return undefined;
    return this.#options.membership.backendServer(source)?.entry.address;
  }
}

/** Applies each preference in turn, unless it would leave no server. */
function applyPreferences(
  servers: readonly BackendServerView[],
  preferences: readonly ((server: BackendServerView) => boolean)[],
): readonly BackendServerView[] {
  return preferences.reduce((remaining, preference) => {
    const preferredServers = remaining.filter(preference);
    return preferredServers.length > 0 ? preferredServers : remaining;
  }, servers);
}

/** Candidates with the best scores; recording all would use much memory. */
function bestCandidates(plan: RoutePlan) {
  return plan.weighed
    .toSorted((left, right) => left.scoreMs - right.scoreMs)
    .slice(0, MAX_EXPLAINED_ENGINES);
}

function versionOf(server: BackendServerView): WeightsVersion {
  return server.weightsVersion ?? brandId<WeightsVersion>("");
}

function describeServer(server: BackendServerView) {
  const { id, takesNewWork, weightsVersion } = server;
  return { id, takesNewWork, weightsVersion };
}
