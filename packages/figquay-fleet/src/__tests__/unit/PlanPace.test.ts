/** Plans leave the core to requests, however often they are called for. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { choosePlanPause } from '../../index.js'

/** Part of a second that plans take which are called for all the time. */
function measureShare (tookMs: number): number {
  return tookMs / (tookMs + choosePlanPause(tookMs))
}

describe('pace of plans', () => {
  it('follows a need at once when plans are cheap', () => {
    expect(choosePlanPause(0.3)).toEqual(10)
  })

  it('takes a twentieth of the core at most, until a plan takes as long as demand needs to move', () => {
    fc.assert(fc.property(fc.double({ min: 0, max: 50, noNaN: true }), (tookMs) => measureShare(tookMs) <= 0.0501))
    expect(choosePlanPause(10_000)).toEqual(1_000)
  })
})
