/**
 * The entries of a snapshot: the whole state as a list of small JSON values.
 * Two states are equal if and only if their entries are equal.
 *
 * @module
 */

import { z } from "zod";
import {
  brandId,
  type Sha256Digest,
  type TeamId,
  type TemplateName,
  type VmId,
} from "@endivebend/types";
import { STORED_DIGITS } from "./digest_set.ts";
import {
  type ConfigurationState,
  createConfigurationState,
  keyIdOf,
} from "./state.ts";
import {
  parameterValuesSchema,
  templateBodySchema,
} from "./template_schema.ts";

/** Number of withdrawn digests in one entry, which then takes about 16 KB. */
const WITHDRAWN_PER_ENTRY = 1_000;

const verdictSchema = z.union([
  z.strictObject({ kind: z.literal("accepted"), revision: z.number() }),
  z.strictObject({
    kind: z.literal("refused"),
    field: z.string(),
    message: z.string(),
    remedy: z.string(),
    currentRevision: z.number().nullable(),
  }),
]);

const entrySchema = z.union([
  z.tuple([
    z.literal("template"),
    z.string(),
    z.number(),
    templateBodySchema,
  ]),
  z.tuple([
    z.literal("team"),
    z.string(),
    z.string(),
    parameterValuesSchema,
    z.array(z.string().length(64)),
  ]),
  z.tuple([z.literal("withdrawn"), z.string().regex(/^[0-9a-f]*$/)]),
  z.tuple([z.literal("drain"), z.string(), z.number()]),
  z.tuple([
    z.literal("judged"),
    z.string(),
    z.string(),
    z.number(),
    verdictSchema,
  ]),
]);

/** One entry of a snapshot. */
export type SnapshotEntry = z.output<typeof entrySchema>;

function* chunkWithdrawn(state: ConfigurationState): Generator<SnapshotEntry> {
  let digits: string[] = [];
  for (const digest of state.withdrawn) {
    digits.push(digest);
    if (digits.length < WITHDRAWN_PER_ENTRY) continue;
    yield ["withdrawn", digits.join("")];
    digits = [];
  }
  if (digits.length > 0) yield ["withdrawn", digits.join("")];
}

/** Lists the entries of a state in an order determined by the log alone. */
export function* listSnapshotEntries(
  state: ConfigurationState,
): Generator<SnapshotEntry> {
  for (const { name, revision, body } of state.templates.values()) {
    yield ["template", name, revision, body];
  }
  for (
    const { team, template, parameters, keyDigests } of state.teams.values()
  ) {
    yield ["team", team, template, parameters, keyDigests];
  }
  yield* chunkWithdrawn(state);
  for (const [vmId, revision] of state.drainRevisions) {
    yield ["drain", vmId, revision];
  }
  for (const [recordId, decidedRecord] of state.judged) {
    const { fingerprint, offset, verdict } = decidedRecord;
    yield ["judged", recordId, fingerprint, offset, verdict];
  }
}

function restoreTeam(
  state: ConfigurationState,
  entry: Extract<SnapshotEntry, { 0: "team" }>,
): void {
  const [, name, template, parameters, digests] = entry;
  const team = {
    team: brandId<TeamId>(name),
    template: brandId<TemplateName>(template),
    parameters,
    keyDigests: digests.map((digest) => brandId<Sha256Digest>(digest)),
    view: undefined,
  };
  state.teams.set(team.team, team);
  for (const digest of team.keyDigests) {
    state.keys.set(keyIdOf(digest), { digest, team });
  }
}

function restoreEntry(state: ConfigurationState, entry: SnapshotEntry): void {
  switch (entry[0]) {
    case "template": {
      const [, template, revision, body] = entry;
      const name = brandId<TemplateName>(template);
      state.templates.set(name, { name, revision, body });
      return;
    }
    case "team":
      restoreTeam(state, entry);
      return;
    case "withdrawn":
      for (
        let startIndex = 0;
        startIndex < entry[1].length;
        startIndex += STORED_DIGITS
      ) {
        state.withdrawn.add(
          entry[1].slice(startIndex, startIndex + STORED_DIGITS),
        );
      }
      return;
    case "drain":
      state.drainRevisions.set(brandId<VmId>(entry[1]), entry[2]);
      return;
    case "judged": {
      const [, recordId, fingerprint, offset, verdict] = entry;
      state.judged.set(recordId, { fingerprint, offset, verdict });
      return;
    }
  }
}

/** Builds the state from its entries; undefined if one is malformed. */
export function restoreEntries(
  entries: Iterable<unknown>,
): ConfigurationState | undefined {
  const state = createConfigurationState();
  for (const entry of entries) {
    const parsed = entrySchema.safeParse(entry);
    if (!parsed.success) return undefined;
    restoreEntry(state, parsed.data);
  }
  return state;
}
