/** Reservations of prompt work: no runner is promised more than fits, whoever asks. */
import { describe, test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { ReservationTable, type ReservationRequest, type RunnerCandidate } from 'figquay-routing'

const SEED = 20261204
const MOST = 9_000
const RUNNERS = ['engine-1', 'engine-2', 'engine-3']

function makeOption (runner: string, isPreferred = true): RunnerCandidate {
  return { runner, mostPendingTokens: MOST, isPreferred }
}

function makeRequest (requestId: string, promptTokens: number, options: readonly RunnerCandidate[], prefixKey = requestId): ReservationRequest {
  return { requestId, prefixKey, promptTokens, options }
}

/** A table for runners that remember every prompt, of which a tenth has to be processed again. */
function makeTable (): ReservationTable {
  const cached = new Set<string>()
  return ReservationTable.create({
    estimatePrompt: (runner, prefixKey, promptTokens) => cached.has(`${runner}/${prefixKey}`) ? promptTokens / 10 : promptTokens,
    notePrefix: (runner, prefixKey) => {
      cached.add(`${runner}/${prefixKey}`)
    }
  })
}

describe('reservations', () => {
  test('like a plain sum over all that was reserved and has not ended', () => {
    const step = fc.record({ runners: fc.subarray(RUNNERS, { minLength: 1 }), tokens: fc.integer({ min: 1, max: 6_000 }), ends: fc.boolean() })
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const table = makeTable()
      const open: Array<{ readonly runner: string, readonly requestId: string, readonly tokens: number }> = []
      const sum = (runner: string): number => open.filter((entry) => entry.runner === runner).reduce((total, entry) => total + entry.tokens, 0)
      for (const [index, { runners, tokens, ends }] of steps.entries()) {
        const requestId = `r${index}`
        const reply = table.reserveCapacity(makeRequest(requestId, tokens, runners.map((runner) => makeOption(runner))), 0)
        const least = Math.min(...runners.map(sum)) + tokens
        if (reply.type === 'full') expect(reply.excessTokens).toEqual(least - MOST)
        else {
          expect(reply.pendingTokens).toEqual(least)
          expect(least <= MOST).toEqual(true)
          open.push({ runner: reply.runner, requestId, tokens })
        }
        if (!ends || open.length === 0) continue
        const ended = open.shift()!
        table.releaseReservations(ended.runner, [ended.requestId])
      }
    }), { seed: SEED, numRuns: 200 })
  })

  test('others are used only when the preferred have no room', () => {
    const table = makeTable()
    const reserve = (requestId: string) => table.reserveCapacity(makeRequest(requestId, 5_000, [makeOption('engine-1'), makeOption('engine-2', false)]), 0)
    expect(reserve('a')).toEqual({ type: 'reserved', runner: 'engine-1', promptTokens: 5_000, pendingTokens: 5_000 })
    expect(reserve('b')).toEqual({ type: 'reserved', runner: 'engine-2', promptTokens: 5_000, pendingTokens: 5_000 })
    expect(reserve('c')).toEqual({ type: 'full', excessTokens: 1_000 })
  })

  test('a prompt that was processed for one daemon is cached for all', () => {
    const table = makeTable()
    const reserve = (requestId: string) => table.reserveCapacity(makeRequest(requestId, 6_000, [makeOption('engine-1')], 'manual-3'), 0)
    expect(reserve('a').type).toEqual('reserved')
    expect(reserve('b').type).toEqual('full')
    table.releaseReservations('engine-1', ['a'])
    expect(reserve('c')).toEqual({ type: 'reserved', runner: 'engine-1', promptTokens: 600, pendingTokens: 600 })
  })

  test('those of a daemon that is gone lapse', () => {
    const table = makeTable()
    table.reserveCapacity(makeRequest('a', MOST, [makeOption('engine-1')]), 0)
    const reserveLater = (nowMs: number) => table.reserveCapacity(makeRequest('b', MOST, [makeOption('engine-1')]), nowMs).type
    expect(reserveLater(5_000)).toEqual('full')
    expect(reserveLater(60_000)).toEqual('reserved')
  })
})
