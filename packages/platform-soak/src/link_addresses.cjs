/**
 * Loaded into a daemon's process before the bundle: translates the address of
 * backend servers into that of the daemon's own links to them, so that the
 * links of each daemon can be cut by themselves.
 *
 * @module
 */

const { Socket } = require("node:net");

const { SOAK_SERVER_HOST, SOAK_LINK_HOST } = process.env;
const connect = Socket.prototype.connect;

function translate(options) {
  return options?.host === SOAK_SERVER_HOST
    ? { ...options, host: SOAK_LINK_HOST }
    : options;
}

Socket.prototype.connect = function (...args) {
  // `net.connect` passes its arguments on as one list.
  const list = Array.isArray(args[0]) ? args[0] : args;
  list[0] = translate(list[0]);
  return connect.apply(this, args);
};
