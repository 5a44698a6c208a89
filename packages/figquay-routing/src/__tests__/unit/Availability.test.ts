/** What happens to a request whose model no runner can serve at the moment, and to requests that were in flight at a crash. */
import { describe, test } from 'node:test'
import { expect } from 'earl'
import { Refusal, type Clock } from 'figquay'
import { CrashQuarantine, ModelLoadTracker, PredictedAdmission, SuspectPermits, type AdmissionContext, type RoutedRequest, type RunnerReport } from 'figquay-routing'

const MODEL = 'manual-3@v1'
const BYTES = 10_000_000
const FIRST_TOKEN_MS = 1_200

let nowMs = 1_000
const clock: Clock = { now: () => new Date(nowMs), readMonotonicMs: () => nowMs, waitFor: async () => {} }

function makeReport (phase: 'loading' | 'ready'): RunnerReport {
  return { runner: 'engine-1', state: { models: [{ id: MODEL, bytes: BYTES, phase }] } } as unknown as RunnerReport
}

/** Verdict on a request of now whose model is expected in `availableMs`. */
function checkRequest (availableMs: number | undefined): Refusal | undefined {
  const request = { arrivedAtMs: nowMs, model: { name: 'manual-3' }, kind: { priority: 'interactive', firstTokenWithin: FIRST_TOKEN_MS, answerWithin: 6_000 } } as unknown as RoutedRequest
  const context = { nowMs, queueLength: 0, queuedTokens: 0, estimateAvailableMs: () => availableMs } as unknown as AdmissionContext
  return PredictedAdmission.create().checkRequest(request, [], context)
}

describe('a model that no runner can serve now', () => {
  test('is waited for when it comes in time', () => {
    expect(checkRequest(FIRST_TOKEN_MS - 1)).toEqual(undefined)
  })

  test('is refused at once when it comes too late, with the time of its coming', () => {
    expect(checkRequest(8_000)?.retryAfterMs).toEqual(8_000)
    expect(checkRequest(undefined)?.code).toEqual('model_unavailable')
  })

  test('the time of its coming is learnt from loads seen before', () => {
    const loads = ModelLoadTracker.create(clock)
    expect(loads.estimateReadyMs(MODEL)).toEqual(undefined)
    for (let load = 0; load < 30; load++) {
      loads.recordReport(makeReport('loading'))
      nowMs += 5_000
      loads.recordReport(makeReport('ready'))
    }
    loads.recordReport(makeReport('loading'))
    nowMs += 1_000
    expect(Math.abs(loads.estimateReadyMs(MODEL)! - 4_000) < 100).toEqual(true)
    nowMs += 60_000
    expect(loads.estimateReadyMs(MODEL)).toEqual(undefined)
  })
})

describe('requests that were in flight at a crash', () => {
  test('run one at a time on a runner, those included that ran there before they were suspected', () => {
    const permits = SuspectPermits.create()
    permits.recordRunning('engine-1', 'culprit', nowMs)
    expect(permits.acquirePermit('engine-1', 'companion', nowMs)).toEqual(false)
    expect(permits.acquirePermit('engine-2', 'companion', nowMs)).toEqual(true)
    permits.releasePermit('engine-1', 'culprit')
    expect(permits.acquirePermit('engine-1', 'companion', nowMs)).toEqual(true)
  })

  test('wait until every daemon knows of the charge, and are cleared by a whole answer', () => {
    const guard = CrashQuarantine.create()
    guard.recordCrash({ fingerprint: 'f', upstream: 'engine-1/boot-1' }, nowMs)
    expect(guard.isPropagating('f', nowMs)).toEqual(true)
    expect(guard.isPropagating('f', nowMs + 1_000)).toEqual(false)
    guard.clearRequest('f')
    expect(guard.isCharged('f', nowMs)).toEqual(false)
  })
})
