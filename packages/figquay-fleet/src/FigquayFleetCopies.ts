/** Copies of models that runners have at hand, and what a load from each costs. */
import type { Holdings, ModelSpec } from './FigquayFleetTypes.js'

/** Where a runner loads a model from. */
export type CopySource = 'memory' | 'disk' | 'store'

/** Where a runner that has these copies loads a model from. */
export function findSource (spec: ModelSpec, holdings: Pick<Holdings, 'inMemory' | 'onDisk'>): CopySource {
  if (holdings.inMemory.includes(spec.name)) return 'memory'
  return holdings.onDisk.includes(spec.name) ? 'disk' : 'store'
}

/**
 * Milliseconds that a load takes while few others run.
 *
 * @example
 * measureLoadMs(spec, 'disk') // 1_500
 */
export function measureLoadMs (spec: ModelSpec, source: CopySource): number {
  if (source === 'memory') return spec.memoryLoadMs
  return source === 'disk' ? spec.diskLoadMs : spec.storeLoadMs
}
