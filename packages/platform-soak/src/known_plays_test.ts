import test from "ava";
import { parseKnownPlays, playName } from "./known_plays.ts";

test("only lines of plays name known failures, each with its seed", (t) => {
  const known = parseKnownPlays(
    "# platform-soak: comment seed 1 | x\n" +
      "platform-soak: drawn seed 7 | command | seen | issue 47\n" +
      "faults: entry_stopped | command | seen | issue 2\n",
  );
  t.deepEqual([...known], [playName("drawn", 7)]);
});
