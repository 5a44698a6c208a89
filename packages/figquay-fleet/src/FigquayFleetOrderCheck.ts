/** Checks whether a runner has memory and adapter slots for an order. Pure: no clock, no I/O. */
import type { EnginePool, Holdings } from './FigquayFleetTypes.js'

/** The part of an order that is checked. */
export interface CheckedOrder {
  readonly action: 'load' | 'unload'
  readonly model: string
  readonly adapter: string | undefined
}

interface PoolSizes {
  readonly largestModelMb: number
  readonly adapterMb: number
}

/** Largest sizes by pool, which is immutable; cached because a plan looks them up for every runner. */
const poolSizes = new WeakMap<EnginePool, PoolSizes>()

function findPoolSizes (pool: EnginePool): PoolSizes {
  const known = poolSizes.get(pool)
  if (known !== undefined) return known
  const specs = [...pool.models.values()]
  const sizes = { largestModelMb: Math.max(0, ...specs.map((spec) => spec.weightsMb)), adapterMb: Math.max(0, ...specs.map((spec) => spec.adapterMb)) }
  poolSizes.set(pool, sizes)
  return sizes
}

/**
 * Memory used by models on a runner, including the memory reserved for all its adapter slots.
 *
 * @example
 * measureUsedMb(holdings.models, pool) // 150_000
 */
export function measureUsedMb (models: ReadonlyArray<{ readonly name: string }>, pool: EnginePool): number {
  const { largestModelMb, adapterMb } = findPoolSizes(pool)
  // A model that is no longer configured is assumed to be as large as the largest configured one.
  const modelsMb = models.reduce((sum, { name }) => sum + (pool.models.get(name)?.weightsMb ?? largestModelMb), 0)
  return modelsMb + pool.adapterSlots * adapterMb
}

/** Adapter slots used on a runner, including those of adapters being loaded. */
export function countUsedAdapterSlots (holdings: Holdings): number {
  const loaded = holdings.models.flatMap(({ name, adapters }) => adapters.map((adapter) => `${name}/${adapter}`))
  return new Set([...loaded, ...holdings.coming]).size
}

/**
 * Returns why an order must not be sent to a runner with these holdings; undefined when it may be sent.
 *
 * @example
 * checkOrder(holdings, { action: 'load', model: 'manual', adapter: 'a3' }, pool)
 */
export function checkOrder (holdings: Holdings, order: CheckedOrder, pool: EnginePool): string | undefined {
  if (holdings.isBusy) return 'the runner is executing another order'
  if (order.action === 'unload') return undefined
  const isLoaded = holdings.models.some(({ name }) => name === order.model)
  if (order.adapter !== undefined) {
    if (!isLoaded) return 'the model is not loaded on the runner'
    return countUsedAdapterSlots(holdings) < pool.adapterSlots ? undefined : 'no free adapter slot'
  }
  if (isLoaded) return 'the model is already loaded on the runner'
  const spec = pool.models.get(order.model)
  if (spec === undefined) return 'the model is not configured'
  return measureUsedMb(holdings.models, pool) + spec.weightsMb <= pool.weightsMb ? undefined : 'not enough memory for the model'
}
