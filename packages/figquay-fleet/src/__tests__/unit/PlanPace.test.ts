/** Planning must leave most of the core to requests, however often it is triggered. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { computePlanDelayMs } from '../../index.js'

/** Fraction of the time that planning takes if it is triggered continuously. */
function computePlanningFraction (tookMs: number): number {
  return tookMs / (tookMs + computePlanDelayMs(tookMs))
}

describe('plan pacing', () => {
  it('responds to a need at once if plans are cheap', () => {
    expect(computePlanDelayMs(0.3)).toEqual(10)
  })

  it('takes at most a twentieth of the core, until plans take so long that the delay is capped', () => {
    fc.assert(fc.property(fc.double({ min: 0, max: 50, noNaN: true }), (tookMs) => computePlanningFraction(tookMs) <= 0.0501))
    expect(computePlanDelayMs(10_000)).toEqual(1_000)
  })
})
