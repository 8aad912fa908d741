/**
 * Checks that every name that leaves the process, as listed in
 * docs/external_names.txt, still occurs in the code: as the name of a member,
 * as a text, or as a name of the peers' protocol.
 *
 * @module
 */

import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import ts from "typescript";

/** The first line says what the list is for; each other line holds a name. */
export const EXTERNAL_NAMES_PAGE = "docs/external_names.txt";

const PROTOCOL_COMMENT = /\/\/.*|\/\*[\s\S]*?\*\//g;
const PROTOCOL_NAME = /[A-Za-z_][\w.]*/g;

function isMemberName(node: ts.Identifier): boolean {
  const { parent } = node;
  if (ts.isPropertyAccessExpression(parent)) return parent.name === node;
  if (ts.isBindingElement(parent)) {
    return (parent.propertyName ?? parent.name) === node &&
      ts.isObjectBindingPattern(parent.parent);
  }
  const isMember = ts.isPropertyAssignment(parent) ||
    ts.isShorthandPropertyAssignment(parent) ||
    ts.isPropertySignature(parent) || ts.isPropertyDeclaration(parent) ||
    ts.isMethodDeclaration(parent) || ts.isMethodSignature(parent);
  return isMember && parent.name === node;
}

function isText(node: ts.Node): node is ts.LiteralLikeNode {
  return ts.isStringLiteralLike(node) || ts.isTemplateHead(node) ||
    ts.isTemplateMiddle(node) || ts.isTemplateTail(node);
}

/** Gives the member names and texts of one source file. */
export function findSourceNames(file: string, text: string): Set<string> {
  const names = new Set<string>();
  const source = ts.createSourceFile(file, text, ts.ScriptTarget.Latest, true);
  const visit = (node: ts.Node): void => {
    if (ts.isImportDeclaration(node)) return;
    if (ts.isIdentifier(node) && isMemberName(node)) names.add(node.text);
    if (isText(node)) {
      names.add(node.text.trimEnd());
      // The command line declares a flag and its short form in one text.
      for (const flag of node.text.split(",")) names.add(flag);
    }
    ts.forEachChild(node, visit);
  };
  visit(source);
  return names;
}

/**
 * Gives a fault for each listed name that the code no longer has.
 *
 * @example
 * ```ts
 * const faults = findMissingNames(["vm_id"], new Set(["vm_id"]));
 * ```
 */
export function findMissingNames(
  listed: readonly string[],
  present: ReadonlySet<string>,
): string[] {
  return listed.filter((name) => !present.has(name)).map((name) =>
    `${EXTERNAL_NAMES_PAGE}: "${name}" is gone from the code; bring the name ` +
    "back, or remove the line when the interface has changed on purpose"
  );
}

/** Reads the names of the peers' protocol as its files spell them. */
function readProtocolNames(directory: string): string[] {
  return readdirSync(directory, { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".proto"))
    .map((file) => readFileSync(join(directory, file), "utf8"))
    .flatMap((text) =>
      text.replaceAll(PROTOCOL_COMMENT, "").match(PROTOCOL_NAME) ?? []
    );
}

/** Compares the given source files and the peers' protocol with the list. */
export function checkExternalNames(files: readonly string[]): string[] {
  const present = new Set(readProtocolNames("packages/peers/proto"));
  for (const file of files) {
    if (file.endsWith("_test.ts")) continue;
    for (const name of findSourceNames(file, readFileSync(file, "utf8"))) {
      present.add(name);
    }
  }
  const [, ...lines] = readFileSync(EXTERNAL_NAMES_PAGE, "utf8").split("\n");
  return findMissingNames(
    lines.map((line) => line.trimEnd()).filter((line) => line !== ""),
    present,
  );
}
