import test from "ava";
import { isIpAndPort } from "./mod.ts";

test("an IPv4 address with a port is accepted, and nothing else", (t) => {
  t.true(isIpAndPort("10.1.0.2:8080"));
  t.true(isIpAndPort("255.255.255.255:65535"));
  const others = [
    "10.1.0.2",
    "10.1.0.2:",
    "10.1.0.2:0",
    "10.1.0.2:080",
    "10.1.0.2:65536",
    "10.1.0.2:80:80",
    "10.1.0.2:8e3",
    " 10.1.0.2:80",
    "10.1.0.256:80",
    "010.1.0.2:80",
    "10.1.2:80",
    "bells.example:80",
    "[::1]:80",
    "",
    undefined,
    80,
    ["10.1.0.2:80"],
  ];
  for (const other of others) t.false(isIpAndPort(other), String(other));
});
