/** Random interleavings of claims and outcomes from several callers: no key may run twice. */
import { describe, test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { IdempotencyStateMachine, type CallResult, type ClaimData, type OutcomeData } from 'figquay-idempotency'

const SEED = 20261204
const KEYS = ['a', 'b']
const RETENTION_MS = 1_000_000

type ScenarioEvent = { readonly type: 'claim', readonly key: string } | { readonly type: 'settle', readonly execution: CallResult['execution'] }

const eventArbitrary: fc.Arbitrary<ScenarioEvent> = fc.oneof(
  fc.record({ type: fc.constant('claim' as const), key: fc.constantFrom(...KEYS) }),
  fc.record({ type: fc.constant('settle' as const), execution: fc.constantFrom('ran' as const, 'not-run' as const, 'unknown' as const) })
)

function makeResult (execution: CallResult['execution']): CallResult {
  return { execution, status: 201, contentType: '', body: '' }
}

/** Counts the runs of each key: a claimer that owns its key makes the call, which counts unless it ends with `not-run`. */
function countRuns (events: readonly ScenarioEvent[], stateMachine: IdempotencyStateMachine): Map<string, number> {
  const runs = new Map<string, number>()
  const ownedClaims: ClaimData[] = []
  let offset = 0
  const append = (data: ClaimData | OutcomeData): void => {
    stateMachine.applyRecord({ offset, at: offset, id: String(offset), data })
    offset += 1
  }
  for (const [index, event] of events.entries()) {
    if (event.type === 'claim') {
      const claim: ClaimData = { type: 'claim', key: event.key, claimId: `claim-${index}`, daemon: 'd', fingerprint: 'f', rememberMs: RETENTION_MS }
      append(claim)
      if (stateMachine.findEntry(event.key)?.claimId === claim.claimId) ownedClaims.push(claim)
    } else {
      const claim = ownedClaims.shift()
      if (claim === undefined) continue
      if (event.execution !== 'not-run') runs.set(claim.key, (runs.get(claim.key) ?? 0) + 1)
      append({ type: 'outcome', key: claim.key, claimId: claim.claimId, result: makeResult(event.execution) })
    }
  }
  return runs
}

describe('idempotency state machine', () => {
  test('a key runs at most once', () => {
    fc.assert(fc.property(fc.array(eventArbitrary, { maxLength: 60 }), (events) => {
      for (const count of countRuns(events, IdempotencyStateMachine.create()).values()) expect(count).toEqual(1)
    }), { seed: SEED, numRuns: 500 })
  })

  test('a state machine in which the latest claim wins runs keys twice', () => {
    class LatestClaimWinsStateMachine extends IdempotencyStateMachine {
      private readonly latest = new Map<string, ClaimData>()

      static override create (): LatestClaimWinsStateMachine {
        return new LatestClaimWinsStateMachine()
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
      for (const count of countRuns(events, LatestClaimWinsStateMachine.create()).values()) if (count > 1) throw new Error('a key ran twice')
    }), { seed: SEED, numRuns: 500 })
    expect(result.failed).toEqual(true)
  })

  test('keys expire after their retention time, by the log\'s clock', () => {
    const stateMachine = IdempotencyStateMachine.create()
    const claim = (key: string): ClaimData => ({ type: 'claim', key, claimId: `claim-${key}`, daemon: 'd', fingerprint: 'f', rememberMs: 100 })
    stateMachine.applyRecord({ offset: 0, at: 1_000, id: '0', data: claim('a') })
    stateMachine.applyRecord({ offset: 1, at: 1_099, id: '1', data: claim('b') })
    expect(stateMachine.size).toEqual(2)
    stateMachine.applyRecord({ offset: 2, at: 1_100, id: '2', data: claim('c') })
    expect(stateMachine.findEntry('a')).toEqual(undefined)
    expect(stateMachine.size).toEqual(2)
  })
})
