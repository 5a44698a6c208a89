/** What callers are told, and how often a request is sent, whatever its runners do. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { JsonLogger, SystemClock, type Refusal } from 'figquay'
import { ConfigurationHolder, FleetDemand, FleetRunnerTable, PromptMemory, type Route, type Runner } from 'figquay-fleet'
import { CrashGuard, RetryBudget } from 'figquay-routing'
import { AnswerSink, RunnerExchangeClient, ServingDispatcher, ServingRouter, ServingTraces, type ExchangeEvent, type ExchangeFailure, type ExchangeOptions, type ServedRequest } from '../../index.js'

const ROUTE: Route = {
  name: 'r', host: 'h', pathPrefix: '/', repeat: 'at-most-once', isStream: false, isResumable: false, timeoutMs: 300, objectiveMs: 100, patienceMs: 2_000, priority: 0, targets: [], maxAttempts: 1
}
const IDEMPOTENT: Partial<Route> = { repeat: 'idempotent', maxAttempts: 2 }
const RESUMABLE: Partial<Route> = { repeat: 'idempotent', isStream: true, isResumable: true, maxAttempts: 2 }

type Script = (runner: string, options: ExchangeOptions, signal: AbortSignal) => AsyncGenerator<ExchangeEvent, void, void>

class ScriptedExchanges extends RunnerExchangeClient {
  readonly sent: string[] = []
  constructor (private readonly scripts: Script[]) {
    super()
  }

  override runExchange (runner: Runner, _request: ServedRequest, options: ExchangeOptions, signal: AbortSignal): AsyncGenerator<ExchangeEvent, void, void> {
    this.sent.push(options.resumeAfter === undefined ? runner.id : `${runner.id} after ${options.resumeAfter}`)
    return this.scripts.shift()!(runner.id, options, signal)
  }

  override async checkAlive (): Promise<boolean> {
    return true
  }
}

class RecordingSink extends AnswerSink {
  text = ''
  ending = 'open'
  refusal: Refusal | undefined
  override startAnswer (status: number): void {
    this.text += `${status} `
  }

  override async writeBytes (bytes: Buffer): Promise<void> {
    this.text += bytes.toString()
  }

  override finishAnswer (): void {
    this.ending = 'finished'
  }

  override abandonAnswer (): void {
    this.ending = 'abandoned'
  }

  override refuseRequest (refusal: Refusal): void {
    this.refusal = refusal
    this.ending = `refused ${refusal.status} ${refusal.execution}`
  }
}

const HEAD: ExchangeEvent = { type: 'head', status: 200, head: [], load: undefined }
const ERROR_HEAD: ExchangeEvent = { type: 'head', status: 500, head: [], load: undefined }
const END: ExchangeEvent = { type: 'end' }

function makeData (text: string, lastEventId?: string): ExchangeEvent {
  return { type: 'data', bytes: Buffer.from(text), lastEventId }
}

function makeFailure (reason: ExchangeFailure['reason'], execution: ExchangeFailure['execution']): ExchangeEvent {
  return { type: 'failed', failure: { reason, execution, message: 'test' } }
}

function makeScript (...events: readonly ExchangeEvent[]): Script {
  return async function * () {
    yield * events
  }
}

/** A runner that never answers. */
const staySilent: Script = async function * (_runner, _options, signal) {
  await new Promise<void>((resolve) => signal.addEventListener('abort', () => resolve(), { once: true }))
}

async function serve (scripts: Script[], changes: Partial<Route> = {}, burst = 10): Promise<{ readonly sink: RecordingSink, readonly sent: readonly string[], readonly result: string }> {
  const clock = SystemClock.create()
  const table = FleetRunnerTable.create(clock)
  for (const id of ['r1', 'r2', 'r3']) {
    table.putRunner({ id, service: 's', address: '127.0.0.1:1', zone: 'z', slots: 8, isLeaving: false, bornMs: 0, holdings: undefined }, 0)
  }
  const configurations = ConfigurationHolder.create()
  const memory = PromptMemory.create(clock)
  const exchanges = new ScriptedExchanges(scripts)
  const budget = RetryBudget.create({ perRequest: 0, largestReserve: burst, firstReserve: burst })
  const router = ServingRouter.create({
    clock,
    configurations,
    table,
    memory,
    exchanges,
    demand: FleetDemand.create(clock),
    dispatcher: ServingDispatcher.create({ clock, zone: 'z', configurations, table, memory, announceNeeds: () => {} }),
    findBudget: () => budget,
    crashes: CrashGuard.create(),
    chargeCrash: () => {},
    noteAdapterUse: () => {},
    traces: ServingTraces.create(clock, JsonLogger.create('test', 'silent'))
  })
  const sink = new RecordingSink()
  const arrivedAtMs = clock.readMonotonicMs()
  const request: ServedRequest = {
    id: 'a', route: { ...ROUTE, ...changes }, service: 's', model: undefined, adapter: undefined, promptTokens: 0, parts: [], fingerprint: 'f', arrivedAtMs, deadlineAtMs: arrivedAtMs + 300, payload: undefined
  }
  const result = await router.serveRequest(request, sink, new AbortController().signal)
  return { sink, sent: exchanges.sent, result }
}

describe('serving of a request', () => {
  it('passes an answer on', async () => {
    const { sink } = await serve([makeScript(HEAD, makeData('ok'), END)])
    expect([sink.text, sink.ending]).toEqual(['200 ok', 'finished'])
  })

  it('never calls a request not run that a silent runner may have run', async () => {
    const { sink, sent } = await serve([staySilent])
    expect([sink.ending, sent.length]).toEqual(['refused 504 unknown', 1])
  })

  it('sends what must not repeat once, whatever the runner may have done', async () => {
    const { sink, sent } = await serve([makeScript(makeFailure('reset', 'unknown'))])
    expect([sink.ending, sent.length]).toEqual(['refused 502 unknown', 1])
  })

  it('sends it elsewhere when the runner says that it has not run it', async () => {
    const { sink, sent } = await serve([makeScript(makeFailure('declined', 'not-run')), makeScript(HEAD, END)])
    expect([sink.ending, new Set(sent).size]).toEqual(['finished', 2])
  })

  it('says not run, and when to come back, once every runner has declined', async () => {
    const { sink } = await serve(Array.from({ length: 5 }, () => makeScript(makeFailure('declined', 'not-run'))))
    expect(sink.ending).toEqual('refused 503 not-run')
    expect(sink.refusal?.retryAfterMs !== undefined).toEqual(true)
  })

  it('does not say not run when an earlier attempt may have run', async () => {
    const { sink } = await serve([makeScript(makeFailure('reset', 'unknown')), makeScript(makeFailure('declined', 'not-run'))], IDEMPOTENT, 1)
    expect(sink.ending).toEqual('refused 502 unknown')
  })

  it('repeats an idempotent call after a failure of its runner, no oftener than its route allows', async () => {
    const again = await serve([makeScript(ERROR_HEAD, END), makeScript(HEAD, makeData('ok'), END)], IDEMPOTENT)
    expect([again.sink.text, again.sent.length]).toEqual(['200 ok', 2])
    const twice = await serve([makeScript(ERROR_HEAD, END), makeScript(ERROR_HEAD, makeData('no'), END)], IDEMPOTENT)
    expect([twice.sink.text, twice.sent.length]).toEqual(['500 no', 2])
  })

  it('does not repeat a call without budget', async () => {
    const { sent } = await serve([makeScript(makeFailure('reset', 'unknown'))], IDEMPOTENT, 0)
    expect(sent.length).toEqual(1)
  })

  it('goes on with a stream at another runner after the last whole event', async () => {
    const { sink, sent } = await serve([makeScript(HEAD, makeData('one ', '1'), makeFailure('reset', 'unknown')), makeScript(HEAD, makeData('two', '2'), END)], RESUMABLE)
    expect([sink.text, sink.ending]).toEqual(['200 one two', 'finished'])
    expect(sent[1]!.endsWith('after 1')).toEqual(true)
  })

  it('never puts an error into the middle of a stream', async () => {
    const { sink } = await serve([makeScript(HEAD, makeData('one ', '1'), makeFailure('reset', 'unknown')), makeScript(ERROR_HEAD, makeData('oops'), END)], RESUMABLE)
    expect([sink.text, sink.ending]).toEqual(['200 one ', 'abandoned'])
  })

  it('breaks off a stream that may not be resumed so that it can not look complete', async () => {
    const { sink, result } = await serve([makeScript(HEAD, makeData('one'), makeFailure('truncated', 'unknown'))], { isStream: true })
    expect([sink.ending, result]).toEqual(['abandoned', 'broken'])
  })

  it('asks no other runner when the deadline leaves no time for it', async () => {
    const { sink, sent } = await serve([staySilent, makeScript(HEAD, makeData('ok'), END)], { ...IDEMPOTENT, objectiveMs: 20 })
    // The shortest silence is as long as this request's deadline: nothing is sent that could not be answered.
    expect([sink.ending, sent.length]).toEqual(['refused 504 unknown', 1])
  })
})
