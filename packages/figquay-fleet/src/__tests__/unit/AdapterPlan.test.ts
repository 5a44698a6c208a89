/** Placement of adapters when there are more adapters than slots. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { planAdapter, type AdapterCandidate } from '../../index.js'

function makeCandidate (id: string, idleMs: readonly number[], changes: Partial<AdapterCandidate> = {}): AdapterCandidate {
  return { id, isReady: true, adapters: idleMs.map((idle, index) => ({ key: `m/a${index}`, idleMs: idle })), openRequests: 0, ...changes }
}

describe('adapter planner', () => {
  it('spreads adapters over the runners that have their model loaded', () => {
    expect(planAdapter([makeCandidate('r1', [0, 0]), makeCandidate('r2', [0])], 4)).toEqual({ runner: 'r2', evicted: undefined })
  })

  it('evicts the least recently used adapter if all slots are occupied', () => {
    expect(planAdapter([makeCandidate('r1', [5_000, 2_000]), makeCandidate('r2', [9_000, 1_500])], 2)).toEqual({ runner: 'r2', evicted: 'm/a0' })
  })

  it('evicts no adapter that was used just now, and loads none on a busy runner', () => {
    expect(planAdapter([makeCandidate('r1', [200, 900])], 2)).toEqual(undefined)
    expect(planAdapter([makeCandidate('r1', [], { isReady: false })], 2)).toEqual(undefined)
  })
})
