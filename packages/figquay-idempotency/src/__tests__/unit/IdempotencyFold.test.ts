/** Random interleavings of claims and outcomes: no key runs twice, whoever asks. */
import { describe, test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { IdempotencyFold, type CallResult, type ClaimData, type OutcomeData } from 'figquay-idempotency'

const SEED = 20261204
const KEYS = ['a', 'b']
const REMEMBER_MS = 1_000_000

type Event = { readonly type: 'claim', readonly key: string } | { readonly type: 'settle', readonly execution: CallResult['execution'] }

const eventArbitrary: fc.Arbitrary<Event> = fc.oneof(
  fc.record({ type: fc.constant('claim' as const), key: fc.constantFrom(...KEYS) }),
  fc.record({ type: fc.constant('settle' as const), execution: fc.constantFrom('ran' as const, 'not-run' as const, 'unknown' as const) })
)

function makeResult (execution: CallResult['execution']): CallResult {
  return { execution, status: 201, contentType: '', body: '' }
}

/** Plays events; a claimer runs when the fold says that it owns the key, and may then run it for real. */
function countRuns (events: readonly Event[], fold: IdempotencyFold): Map<string, number> {
  const runs = new Map<string, number>()
  const owners: ClaimData[] = []
  let offset = 0
  const append = (data: ClaimData | OutcomeData): void => {
    fold.applyRecord({ offset, at: offset, id: String(offset), data })
    offset += 1
  }
  for (const [index, event] of events.entries()) {
    if (event.type === 'claim') {
      const claim: ClaimData = { type: 'claim', key: event.key, claimId: `claim-${index}`, daemon: 'd', fingerprint: 'f', rememberMs: REMEMBER_MS }
      append(claim)
      if (fold.findEntry(event.key)?.claimId === claim.claimId) owners.push(claim)
    } else {
      const claim = owners.shift()
      if (claim === undefined) continue
      if (event.execution !== 'not-run') runs.set(claim.key, (runs.get(claim.key) ?? 0) + 1)
      append({ type: 'outcome', key: claim.key, claimId: claim.claimId, result: makeResult(event.execution) })
    }
  }
  return runs
}

describe('idempotency fold', () => {
  test('a key runs at most once', () => {
    fc.assert(fc.property(fc.array(eventArbitrary, { maxLength: 60 }), (events) => {
      for (const count of countRuns(events, IdempotencyFold.create()).values()) expect(count).toEqual(1)
    }), { seed: SEED, numRuns: 500 })
  })

  test('a naive fold, where the latest claim wins, runs keys twice', () => {
    class LatestWins extends IdempotencyFold {
      private readonly latest = new Map<string, ClaimData>()

      static override create (): LatestWins {
        return new LatestWins()
      }

      override applyRecord (record: { data: unknown, offset: number, at: number, id: string }): void {
        const data = record.data as ClaimData
        if (data.type === 'claim') this.latest.set(data.key, data)
      }

      override findEntry (key: string) {
        const claim = this.latest.get(key)
        return claim === undefined ? undefined : { ...claim, forgetAt: 0 }
      }
    }
    const result = fc.check(fc.property(fc.array(eventArbitrary, { maxLength: 60 }), (events) => {
      for (const count of countRuns(events, LatestWins.create()).values()) if (count > 1) throw new Error('ran twice')
    }), { seed: SEED, numRuns: 500 })
    expect(result.failed).toEqual(true)
  })

  test('keys are forgotten when their time is over, by the log\'s clock', () => {
    const fold = IdempotencyFold.create()
    const claim = (key: string): ClaimData => ({ type: 'claim', key, claimId: `claim-${key}`, daemon: 'd', fingerprint: 'f', rememberMs: 100 })
    fold.applyRecord({ offset: 0, at: 1_000, id: '0', data: claim('a') })
    fold.applyRecord({ offset: 1, at: 1_099, id: '1', data: claim('b') })
    expect(fold.size).toEqual(2)
    fold.applyRecord({ offset: 2, at: 1_100, id: '2', data: claim('c') })
    expect(fold.findEntry('a')).toEqual(undefined)
    expect(fold.size).toEqual(2)
  })
})
