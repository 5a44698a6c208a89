/** Time limits of reads of the store, for any bound and any speed at which daemons tell each other what they have read. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { STORE_SILENCE_MS } from 'figquay-fleet'
import { computeStoreTiming } from '../../index.js'

/** Time of a read on a new connection, in milliseconds. */
const READ_MS = 100

/** Bounds from those of small fleets on, and spreads up to half of them, in milliseconds. */
const limits = fc.integer({ min: 2_000, max: 10_000 }).chain((boundMs) => fc.record({
  bounds: fc.record({ drainWithinMs: fc.integer({ min: boundMs, max: 12_000 }), applyWithinMs: fc.constant(boundMs) }),
  spread: fc.record({ spreadMs: fc.integer({ min: 100, max: Math.round(boundMs / 3) }) })
}))

describe('time limits of reads of the store', () => {
  it('leave time to notice a dead connection, read what it kept back and tell all daemons within the bound', () => {
    fc.assert(fc.property(limits, ({ bounds, spread }) => {
      const { configurationWaitMs } = computeStoreTiming(bounds, spread)
      expect(configurationWaitMs + STORE_SILENCE_MS + READ_MS + spread.spreadMs <= bounds.applyWithinMs).toEqual(true)
    }))
  })
})
