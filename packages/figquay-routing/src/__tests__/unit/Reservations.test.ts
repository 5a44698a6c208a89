/** Reservations of prompt work: no runner is promised more than fits, whoever asks. */
import { describe, test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { ReservationDesk, type RunnerOption } from 'figquay-routing'

const SEED = 20261204
const MOST = 9_000
const RUNNERS = ['engine-1', 'engine-2', 'engine-3']

function makeOption (runner: string, promptTokens: number, isPreferred = true): RunnerOption {
  return { runner, promptTokens, mostPendingTokens: MOST, isPreferred }
}

describe('reservations', () => {
  test('like a plain sum over all that was reserved and has not ended', () => {
    const step = fc.record({ runners: fc.subarray(RUNNERS, { minLength: 1 }), tokens: fc.integer({ min: 1, max: 6_000 }), ends: fc.boolean() })
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const desk = ReservationDesk.create()
      const open: Array<{ readonly runner: string, readonly requestId: string, readonly tokens: number }> = []
      const sum = (runner: string): number => open.filter((entry) => entry.runner === runner).reduce((total, entry) => total + entry.tokens, 0)
      for (const [index, { runners, tokens, ends }] of steps.entries()) {
        const requestId = `r${index}`
        const reply = desk.reserveRunner({ requestId, options: runners.map((runner) => makeOption(runner, tokens)) }, 0)
        const least = Math.min(...runners.map(sum)) + tokens
        if (reply.type === 'full') expect(reply.excessTokens).toEqual(least - MOST)
        else {
          expect(reply.pendingTokens).toEqual(least)
          expect(least <= MOST).toEqual(true)
          open.push({ runner: reply.runner, requestId, tokens })
        }
        if (!ends || open.length === 0) continue
        const ended = open.shift()!
        desk.endReservations(ended.runner, [ended.requestId])
      }
    }), { seed: SEED, numRuns: 200 })
  })

  test('others are used only when the preferred have no room', () => {
    const desk = ReservationDesk.create()
    const reserve = (requestId: string) => desk.reserveRunner({ requestId, options: [makeOption('engine-1', 5_000), makeOption('engine-2', 5_000, false)] }, 0)
    expect(reserve('a')).toEqual({ type: 'reserved', runner: 'engine-1', pendingTokens: 5_000 })
    expect(reserve('b')).toEqual({ type: 'reserved', runner: 'engine-2', pendingTokens: 5_000 })
    expect(reserve('c')).toEqual({ type: 'full', excessTokens: 1_000 })
  })

  test('those of a daemon that is gone lapse', () => {
    const desk = ReservationDesk.create()
    desk.reserveRunner({ requestId: 'a', options: [makeOption('engine-1', MOST)] }, 0)
    const reserveLater = (nowMs: number) => desk.reserveRunner({ requestId: 'b', options: [makeOption('engine-1', MOST)] }, nowMs).type
    expect(reserveLater(5_000)).toEqual('full')
    expect(reserveLater(60_000)).toEqual('reserved')
  })
})
