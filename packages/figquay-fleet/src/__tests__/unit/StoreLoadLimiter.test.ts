/** Loads from the weight store must stay within its limit, also when the leader changes. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { StoreLoadLimiter } from '../../index.js'

const WINDOW_MS = 5_000
/** Loads that the weight store accepts in a window. */
function computeStoreLimit (rate: number): number {
  return rate * WINDOW_MS / 1_000 * 1.1 + 3
}

describe('store load limiter', () => {
  it('never starts more loads in any window than the store accepts, whenever the leader changes', () => {
    fc.assert(fc.property(fc.double({ min: 0.5, max: 20, noNaN: true }), fc.array(fc.integer({ min: 0, max: 900 }), { maxLength: 200 }), fc.integer({ min: 0, max: 199 }), (rate, delaysMs, leaderChangeIndex) => {
      let limiter = StoreLoadLimiter.create()
      const startTimesMs: number[] = []
      let nowMs = 0
      delaysMs.forEach((delayMs, index) => {
        nowMs += delayMs
        if (index === leaderChangeIndex) {
          limiter = StoreLoadLimiter.create()
          limiter.assumeWindowSpent(rate, nowMs)
        }
        while (limiter.canStartLoad(rate, nowMs)) {
          limiter.recordLoad(nowMs)
          startTimesMs.push(nowMs)
        }
      })
      return startTimesMs.every((atMs) => startTimesMs.filter((other) => other >= atMs && other < atMs + WINDOW_MS).length <= computeStoreLimit(rate))
    }))
  })

  it('counts a reserved load until a window after it has started, and gives back one that never does', () => {
    const limiter = StoreLoadLimiter.create()
    const load = limiter.reserveLoad()
    expect(limiter.canStartLoad(0.2, 9_000)).toEqual(false)
    limiter.markStarted(load, 9_000)
    expect([limiter.measureWaitMs(0.2, 12_000), limiter.canStartLoad(0.2, 14_000)]).toEqual([2_000, true])
    const cancelled = limiter.reserveLoad()
    limiter.cancelLoad(cancelled)
    expect(limiter.canStartLoad(0.2, 14_000)).toEqual(true)
  })

  it('lets a new leader start a load at once', () => {
    const limiter = StoreLoadLimiter.create()
    limiter.assumeWindowSpent(1.1, 0)
    expect(limiter.canStartLoad(1.1, 0)).toEqual(true)
  })
})
