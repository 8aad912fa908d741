/**
 * Runs a deployment in one process for tests: stand-ins for the platform, the
 * engines, a service and a cache store, and daemons, all on loopback.
 *
 * @module
 */

import { createHash, randomBytes } from "node:crypto";
import { parseSettings, type Settings } from "@endivebend/settings";
import {
  type EngineOptions,
  type EngineStandIn,
  type PlatformStandIn,
  type ServiceStandIn,
  type StandIn,
  startCacheStore,
  startEngine,
  startPlatform,
  startService,
} from "@endivebend/stand-ins";
import { type Daemon, startDaemon } from "./daemon/daemon.ts";

/** The operator key that every daemon of a test deployment accepts. */
export const TEST_OPERATOR_KEY = "test-operator-key";
const SHARED_KEY = "0123456789abcdef0123456789abcdef";

/** The configuration template of the teams of a test deployment. */
export const TEST_TEMPLATE = {
  parameters: {
    tokenRatePerSecond: { default: 1_000_000 },
    burstTokens: { default: 1_000_000 },
  },
  services: ["chime-llm", "belfry-app"],
  models: ["chime-llm"],
  routes: [
    {
      path: "/bookings",
      methods: ["POST"],
      service: "belfry-app",
      repeatable: false,
    },
    {
      path: "/bookings",
      methods: ["GET"],
      service: "belfry-app",
      repeatable: true,
    },
    {
      path: "/open/info",
      methods: ["GET"],
      service: "belfry-app",
      repeatable: true,
      open: true,
    },
  ],
};

/** An answer whose body was read to its end. */
export interface ReadAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly text: string;
}

/** A caller's request. */
export interface CallInput {
  readonly path: string;
  readonly method?: string;
  readonly key?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
}

/** A running deployment; close it at the end of the test. */
export class TestDeployment {
  readonly platform: PlatformStandIn;
  readonly engines: EngineStandIn[] = [];
  readonly service: ServiceStandIn;
  readonly daemons: Daemon[] = [];
  store: StandIn | undefined;

  private constructor(platform: PlatformStandIn, service: ServiceStandIn) {
    this.platform = platform;
    this.service = service;
  }

  static async start(options: {
    readonly engines?: readonly EngineOptions[];
    readonly daemons?: number;
    /** Starts a cache store to which the engines write computed blocks. */
    readonly withStore?: boolean;
    /** Overrides of the default limits in the daemons' settings. */
    readonly limits?: Readonly<Record<string, unknown>>;
  } = {}): Promise<TestDeployment> {
    const platform = await startPlatform({});
    const deployment = new TestDeployment(platform, await startService({}));
    if (options.withStore) deployment.store = await startCacheStore({});
    const storeAddress = deployment.store?.address ?? "";
    for (const engine of options.engines ?? [{}]) {
      deployment.engines.push(
        await startEngine({
          model: "chime-llm",
          weightsVersion: "v1",
          cacheBlocks: 100,
          storeAddress,
          ...engine,
        }),
      );
    }
    await deployment.publishVms();
    for (let count = 0; count < (options.daemons ?? 1); count++) {
      await deployment.addDaemon(options.limits);
    }
    return deployment;
  }

  /**
   * Publishes the list of backend servers; `states` holds the engines that are
   * not live, by VM id.
   */
  async publishVms(
    states: Readonly<Record<string, "live" | "leaving">> = {},
  ): Promise<void> {
    const engines = this.engines.map(({ address }, index) => ({
      vmId: `engine-${index + 1}`,
      role: "engine",
      state: states[`engine-${index + 1}`] ?? "live",
      address,
      failureDomain: "a",
      service: "chime-llm",
    }));
    const service = {
      vmId: "bookings-1",
      role: "service",
      state: "live",
      address: this.service.address,
      failureDomain: "a",
      service: "belfry-app",
    };
    const stores = this.store === undefined ? [] : [{
      vmId: "store-1",
      role: "cache_store",
      state: "live",
      address: this.store.address,
      failureDomain: "a",
      service: "rulebook-cache",
    }];
    const set_vms = [...engines, ...stores, service];
    await this.platform.control({ set_vms });
  }

  async addDaemon(
    limits: Readonly<Record<string, unknown>> = {},
    otherSettings: Readonly<Record<string, unknown>> = {},
  ): Promise<Daemon> {
    const vmId = `vm-${this.daemons.length + 1}`;
    const settings = this.#settings(vmId, { limits, ...otherSettings });
    const daemon = await startDaemon(settings);
    this.daemons.push(daemon);
    return daemon;
  }

  /** Proposes a configuration change and returns its verdict. */
  async proposeChange(
    body: Readonly<Record<string, unknown>>,
  ): Promise<Record<string, unknown>> {
    const answer = await this.callOperatorApi("/operator/v1/changes", body);
    return JSON.parse(answer.text) as Record<string, unknown>;
  }

  /** Calls the operator API of the first daemon: GET without a body, or POST. */
  callOperatorApi(path: string, body?: unknown): Promise<ReadAnswer> {
    const address = this.daemons[0]!.addresses.operators;
    const method = body === undefined ? "GET" : "POST";
    return call(address, { path, method, body, key: TEST_OPERATOR_KEY });
  }

  /** Publishes {@link TEST_TEMPLATE} and creates a team with a key. */
  async createTeam(
    team = "st-mary",
    parameters: Readonly<Record<string, number>> = {},
  ): Promise<{ readonly key: string; readonly keyId: string }> {
    const body = TEST_TEMPLATE;
    await this.proposeChange({
      kind: "template_published",
      template: "chime",
      body,
    });
    await this.proposeChange({
      kind: "team_created",
      team,
      template: "chime",
      parameters,
    });
    const granted = await this.proposeChange({ kind: "key_granted", team });
    return { key: String(granted.secret), keyId: String(granted.keyId) };
  }

  /** Resolves to an engine that runs a request. */
  async waitForRunningEngine(): Promise<EngineStandIn> {
    let runningEngine: EngineStandIn | undefined;
    await pollUntil(async () => {
      for (const engine of this.engines) {
        const load = await call(engine.address, {
          path: "/v1/load",
          method: "GET",
        });
        if (JSON.parse(load.text).runningRequests > 0) runningEngine = engine;
      }
      return runningEngine !== undefined;
    });
    return runningEngine!;
  }

  /** Resolves when a daemon reports that it is ready for requests. */
  async waitUntilReady(daemon: number): Promise<void> {
    const probe = { path: "/readyz", method: "GET" };
    await pollUntil(async () =>
      (await this.call(probe, daemon)).status === 200
    );
  }

  /** Resolves when a model request with the key succeeds. */
  async waitUntilServing(key: string): Promise<void> {
    const body = { model: "chime-llm", prompt: "Ring", max_tokens: 1 };
    await pollUntil(async () => {
      const path = "/v1/completions";
      return (await this.call({ path, key, body })).status === 200;
    });
  }

  /** Lets real time pass, for tests of a failure's duration. */
  async delay(durationMs: number): Promise<void> {
    const endMs = performance.now() + durationMs;
    await pollUntil(() => Promise.resolve(performance.now() >= endMs));
  }

  /** Resolves when the cache store holds at least `count` blocks. */
  async waitForStoredBlocks(count: number): Promise<void> {
    const address = this.store?.address ?? "";
    await pollUntil(async () => {
      const answer = await call(address, { path: "/v1/kv", method: "GET" });
      return JSON.parse(answer.text).blocks.length >= count;
    });
  }

  /** Resolves when the first daemon knows an expected incarnation of an engine. */
  async waitForIncarnation(
    id: string,
    isExpected: (incarnation: string) => boolean,
  ): Promise<void> {
    await pollUntil(async () => {
      const { text } = await this.callOperatorApi("/operator/v1/status");
      const { engines } = JSON.parse(text) as {
        readonly engines: readonly {
          readonly id: string;
          readonly incarnation?: string;
        }[];
      };
      const reported = engines.find((engine) => engine.id === id)?.incarnation;
      return reported !== undefined && isExpected(reported);
    });
  }

  /** Has an engine load weights by an order that no daemon knows of. */
  async loadWeights(engine: EngineStandIn, version: string): Promise<void> {
    const body = {
      kind: "load_model",
      model: "chime-llm",
      weightsVersion: version,
      fence: 1,
    };
    await call(engine.address, { path: "/v1/orders", body });
    await pollUntil(() => Promise.resolve(engine.weightsVersion() === version));
  }

  /** Returns a stand-in's record of the calls that reached it, as JSON text. */
  async fetchRecord(standIn: { readonly controlAddress: string }) {
    const path = "/record";
    return (await call(standIn.controlAddress, { path, method: "GET" })).text;
  }

  /** Sends a request to the caller listener of a daemon, given by its index. */
  call(input: CallInput, daemon = 0): Promise<ReadAnswer> {
    return call(this.daemons[daemon]!.addresses.callers, input);
  }

  async close(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.drain()));
    await Promise.all(this.engines.map((engine) => engine.close()));
    await this.store?.close();
    await this.service.close();
    await this.platform.close();
  }

  #settings(
    vmId: string,
    overrides: Readonly<Record<string, unknown>> & { readonly limits: object },
  ): Settings {
    const listener = { host: "127.0.0.1", port: 0 };
    const sha256 = createHash("sha256").update(TEST_OPERATOR_KEY).digest("hex");
    const text = JSON.stringify({
      vmId,
      failureDomain: "a",
      fleet: { failureDomains: ["a"], region: "qld-east" },
      listen: { callers: listener, operators: listener, peers: listener },
      platform: { address: this.platform.address, pollWaitMs: 500 },
      peers: {
        sharedKey: SHARED_KEY,
        addresses: this.daemons.map((daemon, index) => ({
          vmId: `vm-${index + 1}`,
          address: daemon.addresses.peers,
          failureDomain: "a",
        })),
      },
      operators: { keys: [{ name: "test", sha256 }] },
      log: { level: "silent" },
      ...overrides,
      limits: { drainGraceMs: 0, loanLeaseMs: 100, ...overrides.limits },
    });
    const parsed = parseSettings(text);
    if (parsed.ok) return parsed.settings;
    throw new Error(JSON.stringify(parsed.faults));
  }
}

async function pollUntil(isMet: () => Promise<boolean>): Promise<void> {
  while (!await isMet()) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

async function call(address: string, input: CallInput): Promise<ReadAnswer> {
  const { path, method = "POST", key, headers = {}, body } = input;
  const authorization: Record<string, string> = key === undefined
    ? {}
    : { authorization: `Bearer ${key}` };
  const response = await fetch(`http://${address}${path}`, {
    method,
    headers: { ...authorization, ...headers },
    ...(body === undefined
      ? {}
      : { body: typeof body === "string" ? body : JSON.stringify(body) }),
  });
  const { status } = response;
  return { status, headers: response.headers, text: await response.text() };
}

/** Creates an idempotency key that starts with its time in Unix seconds. */
export function createTimedKey(): string {
  const random = randomBytes(8).toString("hex");
  return `${Math.floor(Date.now() / 1000)}-${random}`;
}
