/**
 * Checks that concern several fields of the settings.
 *
 * @module
 */

import type { FieldFault } from "./document.ts";

type Fields = Readonly<Record<string, unknown>>;

const LISTENERS = ["callers", "operators", "peers"] as const;
const WILDCARD_HOSTS = new Set<unknown>(["0.0.0.0", "::"]);

function fieldsOf(value: unknown): Fields {
  const isObject = typeof value === "object" && value !== null;
  return isObject ? value as Fields : {};
}

function listOf(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

function checkFailureDomains(settings: Fields): FieldFault[] {
  const declared = listOf(fieldsOf(settings.fleet).failureDomains);
  const undeclared: FieldFault[] = [{
    path: ["failureDomain"],
    message: "The failure domain is not in fleet.failureDomains",
    remedy: "Use a listed failure domain, or add this one to the list",
  }];
  const repeated = declared.flatMap((domain, index) =>
    declared.indexOf(domain) === index ? [] : [{
      path: ["fleet", "failureDomains", index],
      message: "The failure domain is listed twice",
      remedy: "Remove one of the two entries",
    }]
  );
  const isKnown = settings.failureDomain === undefined ||
    declared.includes(settings.failureDomain);
  return isKnown ? repeated : [...undeclared, ...repeated];
}

function checkPeers(settings: Fields): FieldFault[] {
  const declared = listOf(fieldsOf(settings.fleet).failureDomains);
  const addresses = listOf(fieldsOf(settings.peers).addresses).map(fieldsOf);
  const ids = addresses.map((peer) => peer.vmId);
  return addresses.flatMap((peer, index) => {
    const faults: FieldFault[] = [];
    if (peer.vmId !== undefined && ids.indexOf(peer.vmId) !== index) {
      faults.push({
        path: ["peers", "addresses", index, "vmId"],
        message: "The VM is listed twice",
        remedy: "Remove one of the two entries",
      });
    }
    const domain = peer.failureDomain;
    if (domain !== undefined && !declared.includes(domain)) {
      faults.push({
        path: ["peers", "addresses", index, "failureDomain"],
        message: "The failure domain is not in fleet.failureDomains",
        remedy: "Use a listed failure domain, or add this one to the list",
      });
    }
    return faults;
  });
}

function checkListeners(settings: Fields): FieldFault[] {
  const listen = fieldsOf(settings.listen);
  const advertise = fieldsOf(settings.advertise);
  const usedAddresses = new Set<string>();
  return LISTENERS.flatMap((name) => {
    const { host, port, tls } = fieldsOf(listen[name]);
    const faults: FieldFault[] = [];
    if (WILDCARD_HOSTS.has(host) && advertise[name] === undefined) {
      faults.push({
        path: ["listen", name, "host"],
        message: "Other VMs cannot reach a wildcard address",
        remedy: `Set advertise.${name} to the VM's IP address and port`,
      });
    }
    const hostAndPort = `${host}:${port}`;
    if (port !== 0 && port !== undefined && usedAddresses.has(hostAndPort)) {
      faults.push({
        path: ["listen", name, "port"],
        message: "Another listener uses the same host and port",
        remedy: "Give each listener a port of its own",
      });
    }
    usedAddresses.add(hostAndPort);
    if (name === "peers" && tls && fieldsOf(tls).caFile === undefined) {
      faults.push({
        path: ["listen", name, "tls"],
        message: "TLS between daemons needs client certificates",
        remedy: "Set caFile to the certificate authority of the fleet",
      });
    }
    return faults;
  });
}

/**
 * Node.js does not start an HTTP server whose headers timeout is longer than
 * its request timeout.
 */
function checkTimeouts(settings: Fields): FieldFault[] {
  const { headersTimeoutMs, requestTimeoutMs } = fieldsOf(settings.limits);
  const isLonger = typeof headersTimeoutMs === "number" &&
    typeof requestTimeoutMs === "number" &&
    headersTimeoutMs > requestTimeoutMs;
  if (!isLonger) return [];
  return [{
    path: ["limits", "headersTimeoutMs"],
    message:
      "The headers timeout is longer than the timeout of the whole request",
    remedy: `Give at most requestTimeoutMs, ${requestTimeoutMs}`,
  }];
}

/** Finds faults that concern several fields; accepts any value. */
export function findCrossFieldFaults(value: unknown): readonly FieldFault[] {
  const settings = fieldsOf(value);
  return [
    ...checkFailureDomains(settings),
    ...checkPeers(settings),
    ...checkListeners(settings),
    ...checkTimeouts(settings),
  ];
}
