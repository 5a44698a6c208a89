/** Model ids, shared by placement and routing. */
import type { Model } from 'figquay-contracts'

/**
 * Returns the id that engines use for a model version.
 *
 * @example
 * makeModelId(model) // 'manual-3@v1'
 */
export function makeModelId (model: Model): string {
  return `${model.name}@${model.version}`
}
