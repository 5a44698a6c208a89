/** Sources from which a runner can load a model, and how long a load from each takes. */
import type { Holdings, ModelSpec } from './FigquayFleetTypes.js'

/** Source of a model's weights: the runner's main memory, its disk, or the shared weight store. */
export type LoadSource = 'memory' | 'disk' | 'store'

/** Fastest source from which a runner with these copies can load a model. */
export function findLoadSource (spec: ModelSpec, holdings: Pick<Holdings, 'inMemory' | 'onDisk'>): LoadSource {
  if (holdings.inMemory.includes(spec.name)) return 'memory'
  return holdings.onDisk.includes(spec.name) ? 'disk' : 'store'
}

/**
 * Duration of a load while few others are in progress, in milliseconds.
 *
 * @example
 * findLoadDurationMs(spec, 'disk') // 1_500
 */
export function findLoadDurationMs (spec: ModelSpec, source: LoadSource): number {
  if (source === 'memory') return spec.memoryLoadMs
  return source === 'disk' ? spec.diskLoadMs : spec.storeLoadMs
}
