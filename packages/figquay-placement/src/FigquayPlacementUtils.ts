/** Names shared by what places models and what routes to them. */
import type { Model } from 'figquay-contracts'

/**
 * Id under which engines know a version of a model.
 *
 * @example
 * makeModelId(model) // 'manual-3@v1'
 */
export function makeModelId (model: Model): string {
  return `${model.name}@${model.version}`
}
