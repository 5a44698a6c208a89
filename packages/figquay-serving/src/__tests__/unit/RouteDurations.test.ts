/** Requests that arrive during a planned stop, whose end they may not live to see. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { decideWhileDraining, RouteDurations } from '../../index.js'

/** The sites' grace of 8 s: the balancer notices within 2.5 s, requests are ended after 7.3 s. */
const DRAIN = { deadlineAtMs: 7_300, isChosenUntilMs: 2_500 }
const REQUEST = { nowMs: 1_000, deadlineAtMs: 16_000, mayRepeat: true, typicalMs: 1_500 }

describe('requests that arrive during a planned stop', () => {
  it('are served if they usually end in time, or must by their own deadline', () => {
    expect([REQUEST, { ...REQUEST, typicalMs: undefined }, { ...REQUEST, mayRepeat: false, typicalMs: 6_000 }, { ...REQUEST, deadlineAtMs: 7_000, typicalMs: 9_000 }].map((request) => decideWhileDraining(request, DRAIN).type)).toEqual(['serve', 'serve', 'serve', 'serve'])
  })

  it('are refused at once if they don\'t, also if nothing is known of those that may run only once', () => {
    expect([{ ...REQUEST, typicalMs: 6_500 }, { ...REQUEST, mayRepeat: false, typicalMs: undefined }].map((request) => decideWhileDraining(request, DRAIN))).toEqual([{ type: 'refuse', retryAfterMs: 1_500 }, { type: 'refuse', retryAfterMs: 1_500 }])
  })

  it('come back at once if waiting for the balancer would leave them too little time', () => {
    expect([{ ...REQUEST, typicalMs: 14_000 }, { ...REQUEST, nowMs: 100, deadlineAtMs: 7_400, typicalMs: 7_300 }].map((request) => decideWhileDraining(request, DRAIN))).toEqual([{ type: 'refuse', retryAfterMs: 0 }, { type: 'refuse', retryAfterMs: 0 }])
  })

  it('are never refused when they would end before the stop does', () => {
    fc.assert(fc.property(fc.integer({ min: 0, max: 7_300 }), fc.integer({ min: 1, max: 20_000 }), fc.integer({ min: 1, max: 20_000 }), fc.boolean(), (nowMs, leftMs, typicalMs, mayRepeat) => {
      const decision = decideWhileDraining({ nowMs, deadlineAtMs: nowMs + leftMs, mayRepeat, typicalMs }, DRAIN)
      expect(decision.type === 'serve').toEqual(nowMs + Math.min(leftMs, typicalMs) <= DRAIN.deadlineAtMs)
    }))
  })
})

describe('typical durations of requests', () => {
  it('are unknown at first, and follow the recent ones of the route', () => {
    const durations = RouteDurations.create()
    const estimates = [durations.estimateTypical('a')]
    for (let count = 0; count < 100; count += 1) durations.noteDuration('a', 5_000)
    estimates.push(durations.estimateTypical('a'), durations.estimateTypical('b'))
    for (let count = 0; count < 64; count += 1) durations.noteDuration('a', count)
    estimates.push(durations.estimateTypical('a'))
    expect(estimates).toEqual([undefined, 5_000, undefined, 57])
  })
})
