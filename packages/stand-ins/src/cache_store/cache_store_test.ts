import test from "ava";
import { request } from "undici";
import { startCacheStore } from "../mod.ts";

test("a full cache store forgets its oldest block", async (t) => {
  const store = await startCacheStore({ maxBytes: 8 });
  t.teardown(() => store.close());
  const url = (block: string) => `http://${store.address}/v1/kv/${block}`;
  for (const block of ["b1", "b2", "b3"]) {
    await request(url(block), { method: "PUT", body: "1234" });
  }
  t.is((await request(url("b1"))).statusCode, 404);
  t.is(await (await request(url("b3"))).body.text(), "1234");
});
