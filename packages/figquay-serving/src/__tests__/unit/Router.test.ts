/** Responses to callers, and the number of attempts per request, for every kind of runner behaviour. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { SystemClock } from 'figquay'
import type { ConfigurationHolder, Customer, FleetRunnerTable } from 'figquay-fleet'
import type { AttemptTracker, ExchangeEvent, ExchangeFailure, ServingDispatcher, ServingRouter } from '../../index.js'
import { RecordingSink } from '../standins/RecordingSink.js'
import { CUSTOMER, CUSTOMERS, END, ERROR_HEAD, HEAD, IDEMPOTENT, JSON_HEAD, LEAVING, makeData, makeFailure, makeScript, neverRespond, RESUMABLE, type Script, serve } from '../standins/ScriptedRouter.js'

describe('routing of a stream that its caller resumes', () => {
  it('goes on at the version that began it, also when the first runner of it breaks off', async () => {
    const { sink, sent, begun } = await serve([makeScript(HEAD, makeData('fourteen ', '14'), makeFailure('reset', 'unknown')), makeScript(HEAD, makeData('fifteen', '15'), END)], RESUMABLE, { versions: ['a', 'b', 'b'], resumeAfterEventId: '13', origin: { type: 'known', softwareVersion: 'b', source: 'peer', ageMs: undefined } })
    expect([sink.text, sink.ending, sent.map((text) => text.slice(0, 2)).sort(), begun]).toEqual(['200 fourteen fifteen', 'finished', ['r2', 'r3'], ['b']])
  })

  it('is refused as not run if its version is unknown or has no runner', async () => {
    const unknown = await serve([], RESUMABLE, { versions: ['a', 'b', 'b'], resumeAfterEventId: '13', origin: { type: 'unknown', reason: 'several-versions' } })
    const gone = await serve([], RESUMABLE, { versions: ['a', 'b', 'b'], resumeAfterEventId: '13', origin: { type: 'known', softwareVersion: 'c', source: 'own', ageMs: 5 } })
    expect([unknown.sink.ending, gone.sink.ending, unknown.sent.length + gone.sent.length]).toEqual(['refused 503 not-run', 'refused 503 not-run', 0])
    expect(unknown.tookMs + gone.tookMs < 200).toEqual(true)
  })
})

describe('routing of a request whose key is removed or moved', () => {
  const publish = (configurations: ConfigurationHolder, customers: readonly Customer[]): void => {
    configurations.adoptConfiguration({ ...configurations.current!, version: configurations.version + 1, customers: new Map(customers.map((customer) => [customer.name, customer])) })
  }
  const revoke = (_router: unknown, _dispatcher: unknown, configurations: ConfigurationHolder): void => publish(configurations, [{ ...CUSTOMER, keyDigests: [] }])
  const failLate = (reason: ExchangeFailure['reason'], execution: ExchangeFailure['execution'], ...before: readonly ExchangeEvent[]): Script => async function * () {
    yield * before
    await SystemClock.create().waitFor(200)
    yield makeFailure(reason, execution)
  }

  it('is refused as not run at once while it waits for its model, however long it would have waited', async () => {
    const { sink, sent, tookMs } = await serve([], { patienceMs: 5_000 }, { model: 'm', customers: CUSTOMERS, deadlineMs: 5_000, whileServing: revoke })
    expect([sink.ending, sent.length, tookMs < 1_000]).toEqual(['refused 401 not-run', 0, true])
  })

  it('is delivered if a runner has it', async () => {
    const stream: Script = async function * () {
      yield HEAD
      yield makeData('one ', '1')
      await SystemClock.create().waitFor(200)
      yield makeData('two', '2')
      yield END
    }
    const { sink } = await serve([stream], RESUMABLE, { customers: CUSTOMERS, deadlineMs: 2_000, whileServing: revoke })
    expect([sink.text, sink.ending]).toEqual(['200 one two', 'finished'])
  })

  it('is sent to no other runner, and not refused as not run if the first may have run it', async () => {
    const declined = await serve([failLate('declined', 'not-run')], IDEMPOTENT, { customers: CUSTOMERS, deadlineMs: 2_000, whileServing: revoke })
    const broken = await serve([failLate('reset', 'unknown')], IDEMPOTENT, { customers: CUSTOMERS, deadlineMs: 2_000, whileServing: revoke })
    const stream = await serve([failLate('reset', 'unknown', HEAD, makeData('one', '1'))], RESUMABLE, { customers: CUSTOMERS, deadlineMs: 2_000, whileServing: revoke })
    expect([declined, broken, stream].map(({ sink, sent }) => [sink.ending, sent.length])).toEqual([['refused 401 not-run', 1], ['refused 502 unknown', 1], ['abandoned', 1]])
  })

  it('is sent on for the customer that holds the key then, with its priority', async () => {
    const { sink, callers } = await serve([failLate('declined', 'not-run'), makeScript(HEAD, END)], IDEMPOTENT, {
      customers: CUSTOMERS, deadlineMs: 2_000, whileServing: (_router, _dispatcher, configurations) => publish(configurations, [{ ...CUSTOMER, keyDigests: [] }, { ...CUSTOMER, name: 'atlas', priority: 3 }])
    })
    expect([sink.ending, callers]).toEqual(['finished', [[true, 'desk', 0], [true, 'atlas', 3]]])
  })
})

describe('routing of a request', () => {
  it('forwards a response', async () => {
    const { sink } = await serve([makeScript(HEAD, makeData('ok'), END)])
    expect([sink.text, sink.ending]).toEqual(['200 ok', 'finished'])
  })

  it('is sent to another runner when the chosen one leaves before the first byte goes out', async () => {
    const withdrawIfLeaving: Script = async function * (runner, { isWithdrawn }) {
      expect(isWithdrawn?.()).toEqual(false)
      table.markLeaving(runner, Number.MAX_SAFE_INTEGER)
      expect(isWithdrawn?.()).toEqual(true)
      yield makeFailure('withdrawn', 'not-run')
    }
    let table!: FleetRunnerTable
    const { sink, sent } = await serve([withdrawIfLeaving, makeScript(HEAD, END)], {}, {
      burst: 0,
      noteTable: (runners) => {
        table = runners
      }
    })
    expect([sink.ending, new Set(sent).size]).toEqual(['finished', 2])
  })

  it('records the speed that a runner reports with its answer', async () => {
    const { table } = await serve([makeScript({ ...HEAD, load: { running: 1, waiting: 0, slots: 8, slowdown: 3 } }, END)])
    expect(table.listViews('s').map(({ slowdown }) => Math.round(slowdown)).sort()).toEqual([1, 1, 3])
  })

  it('ends an answer at the deadline whose caller has stopped reading', async () => {
    const streaming: Script = async function * (_runner, _options, signal) {
      yield HEAD
      for (let index = 0; index < 3 && !signal.aborted; index += 1) yield makeData('event ')
    }
    const { sink, result, tookMs } = await serve([streaming], { isStream: true }, { makeSink: () => Object.assign(new RecordingSink(), { isRead: false }) })
    expect([sink.text, sink.ending, result, tookMs < 2_000]).toEqual(['200 event ', 'abandoned', 'broken', true])
  })

  it('counts the pauses of a stream, and logs the first one that is too long with what its runner does', async () => {
    const pausing: Script = async function * () {
      yield { ...HEAD, load: { running: 1, waiting: 0, slots: 8, slowdown: 3 } } as ExchangeEvent
      for (const id of ['1', '2', '3', '4']) {
        yield makeData(id, id)
        if (id !== '2') await new Promise((resolve) => setTimeout(resolve, 40))
      }
      yield END
    }
    const { telemetry, lines } = await serve([pausing], { isStream: true, maxPauseMs: 20 })
    const metrics = await telemetry.registry.metrics()
    expect(metrics.includes('figquay_stream_pause_ratio_count{route="r"} 3')).toEqual(true)
    const logged = lines.map((line) => JSON.parse(line) as Record<string, unknown>).filter(({ message }) => message === 'stream paused for too long')
    expect(logged.map(({ maxPauseMs, requests, slowdown }) => [maxPauseMs, requests, Number(slowdown) > 1.1])).toEqual([[20, 1, true]])
  })

  it('never reports a request as not run if a silent runner may have run it', async () => {
    const { sink, sent } = await serve([neverRespond])
    expect([sink.ending, sent.length]).toEqual(['refused 504 unknown', 1])
  })

  it('sends a request that must not repeat only once, whatever its runner may have done', async () => {
    const { sink, sent } = await serve([makeScript(makeFailure('reset', 'unknown'))])
    expect([sink.ending, sent.length]).toEqual(['refused 502 unknown', 1])
  })

  it('sends it to another runner if the first reports that it has not run it', async () => {
    const { sink, sent } = await serve([makeScript(makeFailure('declined', 'not-run')), makeScript(HEAD, END)])
    expect([sink.ending, new Set(sent).size]).toEqual(['finished', 2])
  })

  it('refuses it as not run, with a retry-after, once every runner has declined', async () => {
    const { sink } = await serve(Array.from({ length: 5 }, () => makeScript(makeFailure('declined', 'not-run'))))
    expect(sink.ending).toEqual('refused 503 not-run')
    expect(sink.refusal?.retryAfterMs !== undefined).toEqual(true)
  })

  it('does not refuse it as not run if an earlier attempt may have run', async () => {
    const { sink } = await serve([makeScript(makeFailure('reset', 'unknown')), makeScript(makeFailure('declined', 'not-run'))], IDEMPOTENT, { burst: 1 })
    expect(sink.ending).toEqual('refused 502 unknown')
  })

  it('retries an idempotent call after an error of its runner, at most as often as its route allows', async () => {
    const again = await serve([makeScript(ERROR_HEAD, END), makeScript(HEAD, makeData('ok'), END)], IDEMPOTENT)
    expect([again.sink.text, again.sent.length]).toEqual(['200 ok', 2])
    const twice = await serve([makeScript(ERROR_HEAD, END), makeScript(ERROR_HEAD, makeData('no'), END)], IDEMPOTENT)
    expect([twice.sink.text, twice.sent.length]).toEqual(['500 no', 2])
  })

  it('refuses a request with a prompt part that has crashed runners, before a runner gets it', async () => {
    const { sink, sent } = await serve([], {}, { deadlyPart: 'dead' })
    expect([sink.ending, sent.length]).toEqual(['refused 502 not-run', 0])
  })

  it('clears the prompt parts of a stream once its output is stable, long before it ends', async () => {
    const clearedAtMs: number[] = []
    const startedAtMs = performance.now()
    const stream: Script = async function * () {
      yield HEAD
      for (let event = 1; event <= 12; event += 1) {
        yield makeData(`${event} `, `${event}`)
        await SystemClock.create().waitFor(100)
      }
      yield END
    }
    const { sink } = await serve([stream], { ...RESUMABLE, patienceMs: 2_000 }, { deadlineMs: 5_000, noteSuccessfulParts: () => clearedAtMs.push(performance.now() - startedAtMs) })
    // Once when the output has lasted for half a second, once at the end.
    expect([sink.ending, clearedAtMs.length, clearedAtMs[0]! >= 450 && clearedAtMs[0]! < 1_000]).toEqual(['finished', 2, true])
  })

  it('does not retry a call without retry budget', async () => {
    const { sent } = await serve([makeScript(makeFailure('reset', 'unknown'))], IDEMPOTENT, { burst: 0 })
    expect(sent.length).toEqual(1)
  })

  it('resumes a stream on another runner after the last whole event', async () => {
    const { sink, sent } = await serve([makeScript(HEAD, makeData('one ', '1'), makeFailure('reset', 'unknown')), makeScript(HEAD, makeData('two', '2'), END)], RESUMABLE)
    expect([sink.text, sink.ending]).toEqual(['200 one two', 'finished'])
    expect(sent[1]!.endsWith('after 1')).toEqual(true)
  })

  it('resumes a stream after the position of its caller first, then after the events that it has delivered', async () => {
    const { sink, sent } = await serve([makeScript(HEAD, makeData('fourteen ', '14'), makeFailure('reset', 'unknown')), makeScript(HEAD, makeData('fifteen', '15'), END)], RESUMABLE, { resumeAfterEventId: '13' })
    expect([sink.text, ...sent.map((attempt) => attempt.split(' after ')[1])]).toEqual(['200 fourteen fifteen', '13', '14'])
  })

  it('forwards nothing from a runner that goes back behind the position that it was given', async () => {
    const first = makeScript(HEAD, makeData('nine ', '9'), makeData('ten ', '10'), makeFailure('reset', 'unknown'))
    const repeating = await serve([first, makeScript(HEAD, makeData('ten again ', '10'), END)], RESUMABLE)
    expect([repeating.sink.text, repeating.sink.ending]).toEqual(['200 nine ten ', 'abandoned'])
    const fromStart = await serve([makeScript(HEAD, makeData('one ', '1'), END), makeScript(HEAD, makeData('fourteen', '14'), END)], RESUMABLE, { resumeAfterEventId: '13' })
    expect([fromStart.sink.text, fromStart.sink.ending]).toEqual(['200 fourteen', 'finished'])
  })

  it('does not resume a stream after an event without an id, as no position would be right', async () => {
    const afterNumbered = await serve([makeScript(HEAD, makeData('one ', '1'), makeData('two ', undefined, true), makeFailure('reset', 'unknown'))], RESUMABLE)
    expect([afterNumbered.sink.text, afterNumbered.sink.ending, afterNumbered.sent.length]).toEqual(['200 one two ', 'abandoned', 1])
    const numberedAgain = await serve([makeScript(HEAD, makeData('one ', undefined, true), makeData('two ', '2'), makeFailure('reset', 'unknown')), makeScript(HEAD, makeData('three', '3'), END)], RESUMABLE)
    expect([numberedAgain.sink.text, numberedAgain.sink.ending]).toEqual(['200 one two three', 'finished'])
  })

  it('never forwards an error response into a started stream', async () => {
    const { sink } = await serve([makeScript(HEAD, makeData('one ', '1'), makeFailure('reset', 'unknown')), makeScript(ERROR_HEAD, makeData('oops'), END)], RESUMABLE)
    expect([sink.text, sink.ending]).toEqual(['200 one ', 'abandoned'])
  })

  it('continues a stream at the software version that began it only', async () => {
    const versions = new Map([['r1', 'v1'], ['r2', 'v2'], ['r3', 'v1']])
    for (let round = 0; round < 20; round += 1) {
      const { sink, sent } = await serve([makeScript(HEAD, makeData('one ', '1'), makeFailure('reset', 'unknown')), makeScript(HEAD, makeData('two', '2'), END)], RESUMABLE, { versions: [...versions.values()] })
      const versionsSent = new Set(sent.map((attempt) => versions.get(attempt.split(' ')[0]!)))
      expect([versionsSent.size, sink.text, sink.ending]).toEqual([1, '200 one two', 'finished'])
    }
  })

  it('never forwards an error with status 200 into a started stream, nor takes an empty one for its end', async () => {
    const first = makeScript(HEAD, makeData('one ', '1'), makeFailure('reset', 'unknown'))
    for (const second of [makeScript(JSON_HEAD, makeData('oops\n\n'), END), makeScript(JSON_HEAD, END), makeScript(HEAD, END), makeScript(HEAD, makeFailure('truncated', 'unknown'))]) {
      const { sink } = await serve([first, second], RESUMABLE)
      expect([sink.text, sink.ending]).toEqual(['200 one ', 'abandoned'])
    }
    const resumedByCaller = await serve([makeScript(HEAD, END)], RESUMABLE, { resumeAfterEventId: '13' })
    expect([resumedByCaller.sink.text, resumedByCaller.sink.ending]).toEqual(['200 ', 'finished'])
  })

  it('aborts a failed stream that may not be resumed, so that it does not look complete', async () => {
    const { sink, result } = await serve([makeScript(HEAD, makeData('one'), makeFailure('truncated', 'unknown'))], { isStream: true })
    expect([sink.ending, result]).toEqual(['abandoned', 'broken'])
  })

  it('tries no other runner if the deadline leaves no time for one', async () => {
    const { sink, sent } = await serve([neverRespond, makeScript(HEAD, makeData('ok'), END)], { ...IDEMPOTENT, objectiveMs: 20 })
    // The minimum silence limit equals this request's deadline, so an attempt after it could not be answered in time.
    expect([sink.ending, sent.length]).toEqual(['refused 504 unknown', 1])
  })

  it('sends no more requests to a runner that reports draining on a response, and announces it to the peers once', async () => {
    const answer = makeScript(HEAD, makeData('ok'), END)
    const { sent, leaving } = await serve([makeScript(LEAVING, HEAD, makeData('ok'), END), answer, answer, answer], {}, { calls: 4 })
    expect([sent.slice(1).includes(sent[0]!), leaving]).toEqual([false, [sent[0]!]])
  })

  it('sends nothing to a runner for the time that it asked for, and refuses at once if all runners have asked', async () => {
    const declineFor = (refusesForMs: number): Script => makeScript({ type: 'notice', notice: { isLeaving: false, refusesForMs, requestsPerSecond: undefined } }, makeFailure('declined', 'not-run'))
    const { sent, answers, tookMs } = await serve([declineFor(5_000), declineFor(3_000), declineFor(4_000)], {}, { calls: 3, deadlineMs: 2_000 })
    expect([new Set(sent).size, sent.length]).toEqual([3, 3])
    expect(answers.map((sink) => sink.ending)).toEqual(Array.from({ length: 3 }, () => 'refused 503 not-run'))
    expect([answers[2]!.refusal!.retryAfterMs! > 2_500, tookMs < 1_000]).toEqual([true, true])
  })

  it('sends to a runner that names a limit only what it takes, while the others take the rest', async () => {
    const limited = makeScript({ type: 'notice', notice: { isLeaving: false, refusesForMs: undefined, requestsPerSecond: 1 } }, HEAD, END)
    const plain = makeScript(HEAD, END)
    const { sent, answers } = await serve([limited, ...Array.from({ length: 20 }, () => plain)], {}, { calls: 20 })
    expect([sent.slice(1).includes(sent[0]!), answers.every((sink) => sink.ending === 'finished')]).toEqual([false, true])
  })

  it('refuses at once, with the time at which there is room, when all runners name a limit and it is used up', async () => {
    const limited = makeScript({ type: 'notice', notice: { isLeaving: false, refusesForMs: undefined, requestsPerSecond: 0.5 } }, HEAD, END)
    const { sent, answers, tookMs } = await serve(Array.from({ length: 12 }, () => limited), {}, { calls: 12, deadlineMs: 2_000 })
    // The first request to each of the three runners learns of its limit, and the second takes the one permit at hand.
    expect([sent.length, answers.at(-1)!.ending, answers.at(-1)!.refusal!.retryAfterMs! > 1_000, tookMs < 1_000]).toEqual([6, 'refused 503 not-run', true, true])
  })

  it('resumes a stalled stream on another runner, and leaves a slow one on its runner', async () => {
    const stall: Script = async function * (runner, options, signal) {
      yield * [HEAD, makeData('one ', '1')]
      yield * neverRespond(runner, options, signal)
    }
    const stalled = await serve([stall, makeScript(HEAD, makeData('two', '2'), END)], { ...RESUMABLE, patienceMs: 300 }, { deadlineMs: 5_000 })
    expect([stalled.sink.text, stalled.sink.ending, stalled.tookMs < 400]).toEqual(['200 one two', 'finished', true])
    const slow: Script = async function * () {
      yield HEAD
      for (const id of ['1', '2', '3', '4', '5']) {
        await SystemClock.create().waitFor(100)
        yield makeData(id, id)
      }
      yield END
    }
    const slowly = await serve([slow], { ...RESUMABLE, patienceMs: 300 }, { deadlineMs: 5_000 })
    expect([slowly.sink.text, slowly.sink.ending, slowly.sent.length]).toEqual(['200 12345', 'finished', 1])
  })

  it('does not time out a silent stream that may not be resumed before its caller does', async () => {
    const pause: Script = async function * () {
      yield * [HEAD, makeData('one ', '1')]
      await SystemClock.create().waitFor(280)
      yield * [makeData('two', '2'), END]
    }
    const { sink } = await serve([pause], { isStream: true, patienceMs: 300 }, { deadlineMs: 5_000 })
    expect([sink.text, sink.ending]).toEqual(['200 one two', 'finished'])
  })

  it('does not track an attempt forever after an internal error', async () => {
    const trackers: AttemptTracker[] = []
    const yieldNothing: Script = makeScript()
    const throwError: Script = async function * (...parameters) {
      yield * yieldNothing(...parameters)
      throw new Error('internal error of the daemon')
    }
    await expect(serve([throwError], {}, { noteTracker: (tracker) => trackers.push(tracker) })).toBeRejectedWith('internal error of the daemon')
    await SystemClock.create().waitFor(1_600)
    trackers[0]!.refresh()
    await SystemClock.create().waitFor(50)
    expect(trackers[0]!.size).toEqual(0)
  })

  it('ends waiting and running requests with a final response when the daemon exits', async () => {
    const waiting = await serve([], {}, { model: 'm', deadlineMs: 3_000, whileServing: (router) => router.failOpenRequests() })
    expect([waiting.sink.ending, waiting.sink.refusal?.retryAfterMs, waiting.tookMs < 1_000]).toEqual(['refused 503 not-run', 0, true])
    const sent = await serve([neverRespond], {}, { deadlineMs: 3_000, whileServing: (router) => router.failOpenRequests() })
    expect([sent.sink.ending, sent.tookMs < 1_000]).toEqual(['refused 504 unknown', true])
  })

  it('does not let a request wait for a model that would be loaded only after the daemon has stopped', async () => {
    const whileServing = (_router: ServingRouter, dispatcher: ServingDispatcher): void => dispatcher.setWaitDeadline(SystemClock.create().readMonotonicMs() + 200)
    const { sink, tookMs } = await serve([], {}, { model: 'm', deadlineMs: 3_000, whileServing })
    expect([sink.ending, sink.refusal?.code, tookMs < 1_000]).toEqual(['refused 503 not-run', 'draining', true])
  })
})
