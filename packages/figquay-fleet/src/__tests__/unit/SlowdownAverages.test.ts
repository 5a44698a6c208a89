/** Usual slowdown of runners that report a passing slowdown, or nonsense. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { Clock } from 'figquay'
import { SlowdownAverages } from '../../index.js'

describe('usual slowdown', () => {
  it('hardly changes with a slowdown of half a second, and follows one that lasts', () => {
    let nowMs = 0
    const averages = SlowdownAverages.create({ readMonotonicMs: () => nowMs } as Clock)
    const reportFor = (slowdown: number, durationMs: number): number => {
      for (const untilMs = nowMs + durationMs; nowMs < untilMs; nowMs += 100) averages.measureUsual('r', slowdown)
      return averages.measureUsual('r', slowdown)
    }
    reportFor(1.2, 5_000)
    expect([reportFor(3, 500) < 1.35, reportFor(3, 30_000) > 2.9]).toEqual([true, true])
  })

  it('is bounded, so that a runner which reports no time at all does not draw all replicas', () => {
    const averages = SlowdownAverages.create({ readMonotonicMs: () => 0 } as Clock)
    expect([averages.measureUsual('zero', 0), averages.measureUsual('huge', Infinity)]).toEqual([0.25, 8])
  })
})
