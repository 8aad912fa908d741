/**
 * Checks of HTTP syntax that must not depend on the runtime's parser.
 *
 * @module
 */

export {
  findFieldFault,
  findHeadFault,
  type ReadHead,
} from "./answer_heads.ts";
export {
  findInvalidHeaderName,
  hasInvalidHeaderName,
  isHeaderName,
} from "./header_names.ts";
export { isIpAndPort } from "./addresses.ts";
