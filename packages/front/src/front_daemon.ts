/**
 * Starts, drains and ends a daemon that is assembled from the other packages.
 *
 * @module
 */

import { DaemonParts } from "./daemon_parts.ts";
import type { FrontPorts, FrontSettings } from "./ports.ts";
import { scheduleStatusLog } from "./status_log.ts";

/** The daemon, assembled from its settings and ports. */
export class FrontDaemon {
  readonly #parts: DaemonParts;

  constructor(settings: FrontSettings, ports: FrontPorts) {
    this.#parts = new DaemonParts(settings, ports);
  }

  start(): void {
    for (const ip of this.#parts.settings.seedIps) {
      if (ip !== this.#parts.settings.ip) {
        this.#parts.seedAddresses.add(this.#parts.peerAddress(ip));
      }
    }
    this.#parts.followers.operator.start();
    this.#parts.followers.server.start();
    this.#parts.followers.quarantine.start();
    this.#parts.quarantines.start();
    this.#parts.streamOrigins.start();
    this.#parts.weightsRollout.start();
    this.#parts.versionRolloutTask.start();
    this.#parts.cacheWatch.start();
    this.#parts.pauseGuard.start();
    this.#parts.paths.start();
    void this.#parts.registration.register();
    scheduleStatusLog(this.#parts);
  }

  /** Starts draining. Calls `onEnd` when the process may end. */
  stop(onEnd: () => void): void {
    this.#parts.drain.start(onEnd);
  }

  /** Logs that changed settings need a restart; none is applied before. */
  reload(): void {
    const outcome = "settings not reloaded; restart the daemon to apply them";
    this.#parts.ports.log.stateChange("reload", { outcome });
  }
}
