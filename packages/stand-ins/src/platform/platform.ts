/**
 * The platform stand-in: log, VM list and weight store over HTTP.
 *
 * @module
 */

import type { VmEntry, VmList } from "@endivebend/types";
import {
  HttpFailure,
  queryNumber,
  readJsonObject,
  sendJson,
} from "../http_messages.ts";
import {
  type Call,
  delay,
  type ListenOptions,
  type StandIn,
  StandInServer,
} from "../stand_in_server.ts";
import { LaggingValue } from "../lagging_value.ts";
import { AppendRate } from "./append_rate.ts";
import { LogStreams } from "./log_streams.ts";
import { PLATFORM_CONTROLS } from "./platform_controls.ts";
import { WeightStore } from "./weight_store.ts";

/** Settings of the platform stand-in. */
export interface PlatformOptions extends ListenOptions {
  readonly vms?: readonly VmEntry[];
  /** Age of the VM list that readers see, in milliseconds. */
  readonly vmListLagMs?: number;
  /** Records kept per stream; without it all. */
  readonly retentionRecords?: number;
  /** Milliseconds that a record is kept; without it for ever. */
  readonly retentionMs?: number;
  /** Appends per second over all streams; without it unlimited. */
  readonly appendsPerSecond?: number;
  readonly weightsBytes?: number;
  readonly weightsBytesPerSecond?: number;
}

/** Faults that `POST /control` and `control()` switch. */
export interface PlatformFaults {
  /** New and open connections are refused, or accepted and never answered. */
  down: false | "refuse" | "hang";
  /** Every answer comes this many milliseconds later. */
  slowMs: number;
  /** So many appends take effect and lose their answer. */
  loseAppendAnswers: number;
  /** Appends are answered 403 and take no effect. */
  refuseAppends: boolean;
}

/** A running platform stand-in. */
export interface PlatformStandIn extends StandIn {
  readonly faults: Readonly<PlatformFaults>;
  /** Appends without the interface's limits and faults. */
  append(stream: string, values: readonly unknown[]): void;
  /** All kept records of a stream. */
  records(stream: string): readonly unknown[];
}

const DEFAULT_LIMIT = 1000;
const DEFAULT_WEIGHTS_BYTES = 256 * 1024;
const DEFAULT_WEIGHTS_BYTES_PER_SECOND = 1024 * 1024;

/** The platform behind the interface. */
export class Platform {
  readonly faults: PlatformFaults = {
    down: false,
    slowMs: 0,
    loseAppendAnswers: 0,
    refuseAppends: false,
  };
  readonly retention: { records: number; ms: number };
  readonly log: LogStreams;
  readonly vms: LaggingValue<readonly VmEntry[]>;
  readonly weights: WeightStore;
  readonly weightSpeed: { bytes: number; bytesPerSecond: number };
  readonly appendRate: AppendRate;
  readonly server: StandInServer;
  readonly counts = { appends: 0, appendsRefused: 0, answersLost: 0, reads: 0 };

  constructor(options: PlatformOptions) {
    this.retention = {
      records: options.retentionRecords ?? Infinity,
      ms: options.retentionMs ?? Infinity,
    };
    this.log = new LogStreams(this.retention);
    this.vms = new LaggingValue(options.vms ?? [], options.vmListLagMs ?? 0);
    this.weightSpeed = {
      bytes: options.weightsBytes ?? DEFAULT_WEIGHTS_BYTES,
      bytesPerSecond: options.weightsBytesPerSecond ??
        DEFAULT_WEIGHTS_BYTES_PER_SECOND,
    };
    this.weights = new WeightStore(this.weightSpeed);
    this.appendRate = new AppendRate(options.appendsPerSecond ?? Infinity);
    this.server = new StandInServer({
      "POST /v1/streams/:stream/records": (call) => this.#append(call),
      "GET /v1/streams/:stream/records": (call) => this.#read(call),
      "GET /v1/vms": ({ response }) =>
        sendJson(response, 200, { body: this.#vmList() }),
      "GET /v1/weights/:model/:version": ({ response }) =>
        this.weights.send(response),
    }, this);
    this.server.intercept = async () => {
      await delay(this.faults.slowMs);
      return false;
    };
  }

  readControl(): unknown {
    return {
      ...this.faults,
      vmListLagMs: this.vms.lagMs,
      retentionRecords: this.retention.records,
      retentionMs: this.retention.ms,
      vms: this.vms.current(),
      streams: this.log.offsets(),
    };
  }

  readRecord(): unknown {
    const mostLoadsAtOnce = this.weights.mostAtOnce;
    return { ...this.counts, mostLoadsAtOnce };
  }

  async applyControl(fields: Record<string, unknown>): Promise<void> {
    for (const [name, value] of Object.entries(fields)) {
      const apply = PLATFORM_CONTROLS[name];
      if (apply === undefined) {
        throw new HttpFailure(400, `Unknown control field ${name}`);
      }
      await apply(this, value);
    }
  }

  changeVms(change: (vms: readonly VmEntry[]) => readonly VmEntry[]): void {
    this.vms.set(change(this.vms.current()), Date.now());
  }

  #vmList(): VmList {
    const { asOfMs, value } = this.vms.visible(Date.now());
    return { asOfMs, vms: value };
  }

  async #append(call: Call): Promise<void> {
    const { records } = await readJsonObject(call.request);
    if (!Array.isArray(records) || records.length === 0) {
      throw new HttpFailure(400, "Send a non-empty array as records");
    }
    this.#checkAppendAllowed();
    const name = call.params.stream ?? "";
    const body = this.log.append(name, records, { nowMs: Date.now() });
    this.counts.appends++;
    if (this.faults.loseAppendAnswers > 0) {
      this.faults.loseAppendAnswers--;
      this.counts.answersLost++;
      call.request.socket.destroy();
      return;
    }
    sendJson(call.response, 200, { body });
  }

  #checkAppendAllowed(): void {
    const isInRate = this.appendRate.take(Date.now());
    if (isInRate && !this.faults.refuseAppends) return;
    this.counts.appendsRefused++;
    throw isInRate
      ? new HttpFailure(403, "Appends are refused")
      : new HttpFailure(429, "Append rate is exhausted; append less often");
  }

  async #read(call: Call): Promise<void> {
    this.counts.reads++;
    const name = call.params.stream ?? "";
    const from = queryNumber(call.query, "from", { fallback: 0 });
    const waitMs = queryNumber(call.query, "waitMs", { fallback: 0 });
    const limit = queryNumber(call.query, "limit", { fallback: DEFAULT_LIMIT });
    const readNow = () =>
      this.log.read(name, { from, limit, nowMs: Date.now() });
    let body = readNow();
    if (body.records.length === 0 && waitMs > 0) {
      const abort = new AbortController();
      call.response.once("close", () => abort.abort());
      await this.log.waitForAppend(name, { waitMs, signal: abort.signal });
      body = readNow();
    }
    sendJson(call.response, 200, { body });
  }
}

/**
 * Starts a platform stand-in.
 *
 * @example
 * ```ts
 * const platform = await startPlatform({ vmListLagMs: 500 });
 * await platform.control({ loseAppendAnswers: 1 });
 * await platform.close();
 * ```
 */
export async function startPlatform(
  options: PlatformOptions = {},
): Promise<PlatformStandIn> {
  const platform = new Platform(options);
  const { server, log } = platform;
  await server.start(options);
  return {
    address: server.address,
    controlAddress: server.controlAddress,
    faults: platform.faults,
    control: (fields) => platform.applyControl(fields),
    close: () => server.close(),
    append: (stream, values) => {
      log.append(stream, values, { nowMs: Date.now() });
    },
    records: (stream) => {
      const nowMs = Date.now();
      const from = log.offsets()[stream]?.firstOffset ?? 0;
      return log.read(stream, { from, limit: Infinity, nowMs }).records;
    },
  };
}
