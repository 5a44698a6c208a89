/** Places for adapters when there are more adapters than places. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { planAdapter, type AdapterHolder } from '../../index.js'

function makeHolder (id: string, idleMs: readonly number[], changes: Partial<AdapterHolder> = {}): AdapterHolder {
  return { id, isReady: true, adapters: idleMs.map((idle, index) => ({ key: `m/a${index}`, idleMs: idle })), openRequests: 0, ...changes }
}

describe('plan of an adapter', () => {
  it('spreads adapters over the holders of their model', () => {
    expect(planAdapter([makeHolder('r1', [0, 0]), makeHolder('r2', [0])], 4)).toEqual({ runner: 'r2', evicted: undefined })
  })

  it('gives up the one that has been idle longest when all places are taken', () => {
    expect(planAdapter([makeHolder('r1', [5_000, 2_000]), makeHolder('r2', [9_000, 1_500])], 2)).toEqual({ runner: 'r2', evicted: 'm/a0' })
  })

  it('gives up none that was used a moment ago, and orders nothing from a busy runner', () => {
    expect(planAdapter([makeHolder('r1', [200, 900])], 2)).toEqual(undefined)
    expect(planAdapter([makeHolder('r1', [], { isReady: false })], 2)).toEqual(undefined)
  })
})
