/** Whether a runner has room for what an order would load. Pure: no clock, no I/O. */
import type { EnginePool, Holdings } from './FigquayFleetTypes.js'

/** What an order would change. */
export interface CheckedOrder {
  readonly action: 'load' | 'unload'
  readonly model: string
  readonly adapter: string | undefined
}

interface PoolSizes {
  readonly largestMb: number
  readonly adapterMb: number
}

/** Sizes by pool, which is immutable: a plan asks for every runner. */
const poolSizes = new WeakMap<EnginePool, PoolSizes>()

function findPoolSizes (pool: EnginePool): PoolSizes {
  const known = poolSizes.get(pool)
  if (known !== undefined) return known
  const specs = [...pool.models.values()]
  const sizes = { largestMb: Math.max(0, ...specs.map((spec) => spec.weightsMb)), adapterMb: Math.max(0, ...specs.map((spec) => spec.adapterMb)) }
  poolSizes.set(pool, sizes)
  return sizes
}

/**
 * Memory that models take on a runner, with room kept for as many adapters as it may hold.
 *
 * @example
 * measureHeldMb(holdings.models, pool) // 150_000
 */
export function measureHeldMb (models: ReadonlyArray<{ readonly name: string }>, pool: EnginePool): number {
  const { largestMb, adapterMb } = findPoolSizes(pool)
  // A model that the configuration no longer names takes as much as the largest that it does.
  const modelsMb = models.reduce((sum, { name }) => sum + (pool.models.get(name)?.weightsMb ?? largestMb), 0)
  return modelsMb + pool.adapterSlots * adapterMb
}

/** Adapters that take a place on a runner, coming ones included. */
export function countAdapters (holdings: Holdings): number {
  const held = holdings.models.flatMap(({ name, adapters }) => adapters.map((adapter) => `${name}/${adapter}`))
  return new Set([...held, ...holdings.coming]).size
}

/**
 * Why an order must not be sent to a runner that holds this; undefined when it may.
 *
 * @example
 * checkOrder(holdings, { action: 'load', model: 'manual', adapter: 'a3' }, pool)
 */
export function checkOrder (holdings: Holdings, order: CheckedOrder, pool: EnginePool): string | undefined {
  if (holdings.isBusy) return 'the runner carries out another order'
  if (order.action === 'unload') return undefined
  const isHeld = holdings.models.some(({ name }) => name === order.model)
  if (order.adapter !== undefined) {
    if (!isHeld) return 'the runner doesn\'t hold the model'
    return countAdapters(holdings) < pool.adapterSlots ? undefined : 'no place for another adapter'
  }
  if (isHeld) return 'the runner holds the model'
  const spec = pool.models.get(order.model)
  if (spec === undefined) return 'the model isn\'t configured'
  return measureHeldMb(holdings.models, pool) + spec.weightsMb <= pool.weightsMb ? undefined : 'no memory for the model'
}
