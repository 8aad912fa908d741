import test from "ava";
import { brandId, type TeamId } from "@endivebend/types";
import { digestRequest, type RequestIdentity } from "./request_digest.ts";

const BASE: RequestIdentity = {
  method: "POST",
  target: "/book/1?x=2",
  team: brandId<TeamId>("st-mary"),
  body: Buffer.from("{}"),
};

test("requests are the same by path, caller and body", (t) => {
  t.is(
    digestRequest(BASE),
    digestRequest({ ...BASE, body: Buffer.from("{}") }),
  );
  const others: Partial<RequestIdentity>[] = [
    { method: "PUT" },
    { target: "/book/1?x=3" },
    { team: brandId<TeamId>("st-john") },
    { team: undefined },
    { body: Buffer.from("{} ") },
    { target: "/book/1?x=2{", body: Buffer.from("}") },
  ];
  const digests = others.map((other) => digestRequest({ ...BASE, ...other }));
  t.is(new Set([...digests, digestRequest(BASE)]).size, others.length + 1);
});
