/** Time limits of reads of the store, for any bound and any speed at which daemons tell each other what they have read. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { STORE_SILENCE_MS } from 'figquay-fleet'
import { computeStoreTiming, ROLE_CHECK_MS } from '../../index.js'

/** Time of a read on a new connection, in milliseconds. */
const READ_MS = 100
/** Delays of the event loop of a daemon that has a share of a core, in milliseconds. */
const EVENT_LOOP_DELAY_MS = 300
/** Shortest wait of a read, in milliseconds. */
const MIN_WAIT_MS = 500

/** Bounds from those of small fleets on, and spreads up to half of them, in milliseconds. */
const limits = fc.integer({ min: 2_000, max: 10_000 }).chain((boundMs) => fc.record({
  bounds: fc.record({ drainWithinMs: fc.integer({ min: boundMs, max: 12_000 }), applyWithinMs: fc.constant(boundMs) }),
  spread: fc.record({ spreadMs: fc.integer({ min: 100, max: Math.round(boundMs / 3) }), reportIntervalMs: fc.integer({ min: 50, max: 300 }) })
}))

describe('time limits of reads of the store', () => {
  it('leave time to notice a dead connection, read what it kept back and tell all daemons within the bound', () => {
    fc.assert(fc.property(limits, ({ bounds, spread }) => {
      const { configurationWaitMs } = computeStoreTiming(bounds, spread)
      expect(configurationWaitMs + STORE_SILENCE_MS + READ_MS + spread.spreadMs <= bounds.applyWithinMs).toEqual(true)
    }))
  })

  it('have every daemon read for itself within the bound once the reads of others are no longer heard of', () => {
    fc.assert(fc.property(limits, ({ bounds, spread }) => {
      const { maxAgeMs, lookerAgeMs } = computeStoreTiming(bounds, spread)
      expect([maxAgeMs + ROLE_CHECK_MS + READ_MS <= Math.min(bounds.drainWithinMs, bounds.applyWithinMs), lookerAgeMs < maxAgeMs]).toEqual([true, true])
    }))
  })

  it('have a daemon that reads in turn tell all others within the bound, where daemons are told fast enough', () => {
    fc.assert(fc.property(limits, ({ bounds, spread }) => {
      const { standInAgeMs, lookerAgeMs } = computeStoreTiming(bounds, spread)
      const endMs = standInAgeMs + ROLE_CHECK_MS + READ_MS + spread.spreadMs
      expect(standInAgeMs === lookerAgeMs || endMs <= Math.min(bounds.drainWithinMs, bounds.applyWithinMs)).toEqual(true)
    }))
  })

  it('keep the age of the last read, as others hear it while nothing changes, below the age at which they read themselves', () => {
    fc.assert(fc.property(limits, ({ bounds, spread }) => {
      const { runnersIntervalMs, lookerAgeMs } = computeStoreTiming(bounds, spread)
      expect(runnersIntervalMs + READ_MS + spread.reportIntervalMs <= lookerAgeMs).toEqual(true)
    }))
  })

  it('keep that age below the one from which daemons read in turn, at all daemons, where the bound leaves the time', () => {
    fc.assert(fc.property(limits, ({ bounds, spread }) => {
      const { runnersIntervalMs, standInAgeMs } = computeStoreTiming(bounds, spread)
      expect(runnersIntervalMs === MIN_WAIT_MS || runnersIntervalMs + READ_MS + spread.spreadMs <= standInAgeMs).toEqual(true)
    }))
  })

  it('have no daemon refuse a route as unknown later than the bound after the last read of the configuration', () => {
    fc.assert(fc.property(limits, ({ bounds, spread }) => {
      const { maxConfigurationAgeMs, configurationAllowanceMs } = computeStoreTiming(bounds, spread)
      expect(configurationAllowanceMs + maxConfigurationAgeMs <= bounds.applyWithinMs).toEqual(true)
    }))
  })

  it('leave daemons that hear last of a read the delays of an event loop before they take no route for unknown', () => {
    fc.assert(fc.property(limits, ({ bounds, spread }) => {
      const { runnersIntervalMs, maxConfigurationAgeMs, maxAgeMs } = computeStoreTiming(bounds, spread)
      expect(maxConfigurationAgeMs === maxAgeMs || runnersIntervalMs + READ_MS + spread.spreadMs + EVENT_LOOP_DELAY_MS <= maxConfigurationAgeMs).toEqual(true)
    }))
  })

  it('keep the reported age of reads of the configuration below the ages from which other daemons read, where the bound leaves the time', () => {
    fc.assert(fc.property(limits, ({ bounds, spread }) => {
      const { configurationWaitMs, configurationAllowanceMs, lookerAgeMs, standInAgeMs } = computeStoreTiming(bounds, spread)
      const reportedMs = configurationWaitMs + READ_MS - configurationAllowanceMs
      expect(configurationWaitMs === MIN_WAIT_MS || (reportedMs + spread.reportIntervalMs <= lookerAgeMs && reportedMs + spread.spreadMs <= standInAgeMs)).toEqual(true)
    }))
  })

  it('have the second daemon that stands by wait until it would have heard of the first one', () => {
    const { lookerAgeMs, takeoverStaggerMs, maxAgeMs } = computeStoreTiming({ drainWithinMs: 2_000, applyWithinMs: 2_000 }, { spreadMs: 300, reportIntervalMs: 200 })
    expect([takeoverStaggerMs >= ROLE_CHECK_MS + READ_MS + 200, lookerAgeMs + takeoverStaggerMs < maxAgeMs]).toEqual([true, true])
  })
})
