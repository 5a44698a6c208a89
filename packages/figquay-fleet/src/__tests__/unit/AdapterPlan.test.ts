/** Placement of adapters when there are more adapters than slots. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { planAdapter, planAdapterCopy, type AdapterCandidate, type AdapterLoad } from '../../index.js'

function makeCandidate (id: string, idleMs: readonly number[], changes: Partial<AdapterCandidate> = {}): AdapterCandidate {
  return { id, isReady: true, adapters: idleMs.map((idle, index) => ({ key: `m/a${index}`, idleMs: idle, hasOtherCopy: false })), openRequests: 0, ...changes }
}

/**
 * Returns the requests that come to a runner with a long queue, of those for six adapters on four runners with three
 * slots each. One adapter has more requests than a runner can serve; every 8 s it is another one.
 */
function simulateHotAdapter (planCopy: typeof planAdapterCopy): number {
  const held = [['a0', 'a4'], ['a1', 'a5'], ['a2'], ['a3']].map((names) => new Map(names.map((name) => [name, 0])))
  const queues = [0, 0, 0, 0]
  let late = 0
  for (let nowMs = 0; nowMs < 32_000; nowMs += 100) {
    const hot = `a${Math.floor(nowMs / 8_000)}`
    // Each runner serves ten requests a second, the adapter in demand has 25.
    const arrivals = nowMs % 200 === 0 ? [hot, hot, hot] : [hot, hot, `a${nowMs / 100 % 6}`]
    for (const name of arrivals) {
      const [runner] = [0, 1, 2, 3].filter((index) => held[index]!.has(name)).sort((a, b) => queues[a]! - queues[b]!)
      if (queues[runner!]! > 8) late += 1
      queues[runner!]! += 1
      held[runner!]!.set(name, nowMs)
    }
    for (const index of queues.keys()) queues[index] = Math.max(0, queues[index]! - 1)
    const loads = queues.map((queue): AdapterLoad => ({ busyness: queue / 10 }))
    const makeOther = (index: number): AdapterCandidate & AdapterLoad => ({
      id: `${index}`,
      isReady: true,
      openRequests: queues[index]!,
      adapters: [...held[index]!].map(([key, usedAtMs]) => ({ key, idleMs: nowMs - usedAtMs, hasOtherCopy: held.filter((adapters) => adapters.has(key)).length > 1 })),
      ...loads[index]!
    })
    const others = [0, 1, 2, 3].filter((index) => !held[index]!.has(hot))
    const step = planCopy(loads.filter((_, index) => !others.includes(index)), others.map(makeOther), 3)
    if (step === undefined) continue
    if (step.evicted !== undefined) held[Number(step.runner)]!.delete(step.evicted)
    held[Number(step.runner)]!.set(hot, nowMs)
  }
  return late
}

describe('adapter planner', () => {
  it('spreads adapters over the runners that have their model loaded', () => {
    expect(planAdapter([makeCandidate('r1', [0, 0]), makeCandidate('r2', [0])], 4)).toEqual({ runner: 'r2', evicted: undefined })
  })

  it('evicts the least recently used adapter if all slots are occupied', () => {
    expect(planAdapter([makeCandidate('r1', [5_000, 2_000]), makeCandidate('r2', [9_000, 1_500])], 2)).toEqual({ runner: 'r2', evicted: 'm/a0' })
  })

  it('evicts an adapter with another copy sooner than the only one', () => {
    const candidate = makeCandidate('r1', [4_000, 2_000])
    const adapters = candidate.adapters.map((adapter, index) => ({ ...adapter, hasOtherCopy: index === 1 }))
    expect(planAdapter([{ ...candidate, adapters }], 2)).toEqual({ runner: 'r1', evicted: 'm/a1' })
  })

  it('adds a copy where all runners that hold the adapter are busy, on one that is much less so', () => {
    const calm = { ...makeCandidate('calm', [100]), busyness: 0.1 }
    expect(planAdapterCopy([{ busyness: 0.9 }], [{ ...calm, id: 'busy', busyness: 0.6 }, calm], 8)).toEqual({ runner: 'calm', evicted: undefined })
    expect(planAdapterCopy([{ busyness: 0.9 }, { busyness: 0.2 }], [calm], 8)).toEqual(undefined)
    // The only copy of another adapter makes way after a long time without use.
    expect(planAdapterCopy([{ busyness: 0.9 }], [{ ...makeCandidate('full', [5_000]), busyness: 0 }], 1)).toEqual(undefined)
    expect(planAdapterCopy([{ busyness: 0.9 }], [{ ...makeCandidate('full', [15_000]), busyness: 0 }], 1)).toEqual({ runner: 'full', evicted: 'm/a0' })
  })

  it('spreads an adapter in demand, whose requests pile up with one copy, also after demand has shifted to another', () => {
    const withOneCopy = simulateHotAdapter(() => undefined)
    expect([withOneCopy > 400, simulateHotAdapter(planAdapterCopy) < 0.15 * withOneCopy]).toEqual([true, true])
  })

  it('evicts no adapter that was used just now, and loads none on a busy runner', () => {
    expect(planAdapter([makeCandidate('r1', [200, 900])], 2)).toEqual(undefined)
    expect(planAdapter([makeCandidate('r1', [], { isReady: false })], 2)).toEqual(undefined)
  })
})
