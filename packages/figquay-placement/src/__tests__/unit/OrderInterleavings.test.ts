/**
 * Guards against overcommitted runner memory when two daemons take over a lease from each other while orders are lost,
 * delayed or duplicated and processes pause just before they send. Runs random interleavings of these with the real
 * lease manager and order dispatcher on a virtual clock, for engines that check fencing tokens and engines that ignore
 * them.
 */
import { describe, test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { makeFailure, makeSuccess, TaskGroup, type CallFailure, type Clock, type Logger, type Outcome } from 'figquay'
import type { Pool } from 'figquay-contracts'
import { StreamReplica, LogAppender, LogService, type LogPage, type LogRecord, type NewRecord } from 'figquay-log'
import type { Membership } from 'figquay-membership'
import { LeaseManager, OrderDispatcher, PlacementStateMachine, RunnerLedger } from 'figquay-placement'
import type { RunnerReport } from 'figquay-routing'
import { EngineClient, type CompletionEvent, type EngineOrder, type EngineState, type LoadedModel, type OrderReply } from 'figquay-upstreams'

const SEED = 20261204
const RUNS = 25
const TRIAL_DURATION_MS = 60_000
const CAPACITY_MODELS = 3
const MODELS = ['a', 'b', 'c', 'd', 'e']
const CELL = 'cell'
const LOAD_DURATION_MS = 300
const TIMEOUT_FAILURE: CallFailure = { sent: 'maybe', reason: 'timeout', message: 'lost' }

/** A clock that advances directly to the next timer. */
class VirtualClock implements Clock {
  private nowMs = 0
  private timers: Array<{ readonly atMs: number, readonly fire: () => void }> = []

  now (): Date {
    return new Date(this.nowMs)
  }

  readMonotonicMs (): number {
    return this.nowMs
  }

  waitFor (ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve()
    return new Promise((resolve) => {
      this.timers.push({ atMs: this.nowMs + Math.max(0, ms), fire: resolve })
      signal?.addEventListener('abort', () => resolve(), { once: true })
    })
  }

  async runUntil (endMs: number): Promise<void> {
    while (this.nowMs < endMs) {
      await new Promise(setImmediate)
      this.timers.sort((a, b) => a.atMs - b.atMs)
      const next = this.timers.shift()
      if (next === undefined) return
      this.nowMs = Math.max(this.nowMs, next.atMs)
      next.fire()
    }
  }
}

const SILENT_LOGGER: Logger = { debug () {}, info () {}, warn () {}, error () {} }

/** Linear congruential generator: a seed gives the same trial on every machine. */
function makeRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}

/** Simulates a paused process: its calls are held back until it resumes. */
class ProcessPause {
  pausedUntilMs = 0

  constructor (private readonly clock: Clock) {}

  async waitWhilePaused (): Promise<void> {
    while (this.clock.readMonotonicMs() < this.pausedUntilMs) await this.clock.waitFor(this.pausedUntilMs - this.clock.readMonotonicMs())
  }
}

class InMemoryLog extends LogService {
  constructor (private readonly records: LogRecord[], private readonly clock: Clock, private readonly pause: ProcessPause, private readonly random: () => number) {
    super()
  }

  override async appendRecords (_stream: string, records: readonly NewRecord[]): Promise<Outcome<readonly number[], CallFailure>> {
    await this.pause.waitWhilePaused()
    await this.clock.waitFor(5)
    const offsets = records.map((record) => this.records.push({ ...record, offset: this.records.length, at: this.clock.readMonotonicMs() }) - 1)
    await this.pause.waitWhilePaused()
    return this.random() < 0.05 ? makeFailure(TIMEOUT_FAILURE) : makeSuccess(offsets)
  }

  override async readPage (_stream: string, from: number): Promise<Outcome<LogPage, CallFailure>> {
    await this.clock.waitFor(20)
    await this.pause.waitWhilePaused()
    return makeSuccess({ firstOffset: 0, endOffset: this.records.length, records: this.records.slice(from) })
  }

  override close (): void {}
}

/** Fake engine with memory for a few models. Loads take time; exceeding the memory counts as a violation. */
class FakeEngine {
  readonly models = new Map<string, LoadedModel>()
  memoryViolations = 0
  loadCount = 0
  private fence = 0

  constructor (private readonly clock: Clock, private readonly checksFencing: boolean) {}

  handleOrder (order: EngineOrder): OrderReply {
    if (this.checksFencing && order.fence < this.fence) return 'stale-fence'
    if (this.checksFencing) this.fence = order.fence
    if (order.action === 'unload-model') this.models.delete(order.subject)
    if (order.action === 'load-model' && !this.models.has(order.subject)) this.startLoad(order.subject)
    return 'accepted'
  }

  readState (): EngineState {
    return { bootId: 'boot', leaving: false, fence: this.fence, capacityBytes: CAPACITY_MODELS, models: [...this.models.values()], adapters: [], load: { running: 0, waiting: 0, waitingPromptTokens: 0, stepMs: 1, prefillTokensPerSecond: 1, maxBatch: 1 }, cachedPrefixes: [] }
  }

  private startLoad (id: string): void {
    this.loadCount += 1
    this.models.set(id, { id, bytes: 1, phase: 'loading' })
    if (this.models.size > CAPACITY_MODELS) this.memoryViolations += 1
    this.clock.waitFor(LOAD_DURATION_MS).then(() => {
      if (this.models.has(id)) this.models.set(id, { id, bytes: 1, phase: 'ready' })
    }, () => undefined)
  }
}

/** Delays, loses and duplicates orders, and may pause the sending process just before it sends. */
class FaultyEngineClient extends EngineClient {
  constructor (private readonly engine: FakeEngine, private readonly clock: Clock, private readonly pause: ProcessPause, private readonly random: () => number) {
    super()
  }

  override async readState (): Promise<Outcome<EngineState, CallFailure>> {
    await this.pause.waitWhilePaused()
    return makeSuccess(this.engine.readState())
  }

  override async sendOrder (_url: string, order: EngineOrder): Promise<Outcome<OrderReply, CallFailure>> {
    if (this.random() < 0.08) this.pause.pausedUntilMs = this.clock.readMonotonicMs() + 2_000 + this.random() * 10_000
    await this.pause.waitWhilePaused()
    if (this.random() < 0.2) this.deliverLater(order, this.random() * 4_500)
    if (this.random() < 0.15) {
      this.deliverLater(order, this.random() * 4_500)
      await this.clock.waitFor(1_000)
      return makeFailure(TIMEOUT_FAILURE)
    }
    await this.clock.waitFor(2)
    return makeSuccess(this.engine.handleOrder(order))
  }

  override async * streamCompletion (): AsyncGenerator<CompletionEvent, void, void> {}

  override close (): void {}

  private deliverLater (order: EngineOrder, delayMs: number): void {
    this.clock.waitFor(delayMs).then(() => this.engine.handleOrder(order), () => undefined)
  }
}

interface TrialResult {
  readonly memoryViolations: number
  readonly loadCount: number
}

/** Runs two daemons for a minute that compete for the lease on one engine. */
async function runTrial (seed: number, checksFencing: boolean, fencing: Pool['fencing']): Promise<TrialResult> {
  const clock = new VirtualClock()
  const random = makeRandom(seed)
  const engine = new FakeEngine(clock, checksFencing)
  const records: LogRecord[] = []
  const membership = { listVms: () => [{ id: 'd1' }, { id: 'd2' }], isLeaving: () => false, readAbsenceMs: () => 0 } as unknown as Membership
  const pool = { name: 'p', memory: CAPACITY_MODELS, adapterMemory: 0, fencing } as Pool
  const tasks = TaskGroup.create(clock, SILENT_LOGGER)
  for (const daemon of ['d1', 'd2']) {
    const pause = new ProcessPause(clock)
    const log = new InMemoryLog(records, clock, pause, random)
    const stream = StreamReplica.create({ stream: 'placement', stateMachine: PlacementStateMachine.create(), log, clock, logger: SILENT_LOGGER })
    const appender = LogAppender.create(log, 'placement', clock)
    const holder = `${daemon}/run`
    const leases = LeaseManager.create({ holder, stream, appender, membership, clock, logger: SILENT_LOGGER })
    const engines = new FaultyEngineClient(engine, clock, pause, random)
    const orders = OrderDispatcher.create({ holder, stream, appender, leases, membership, engines, clock, logger: SILENT_LOGGER })
    stream.start(tasks)
    tasks.startLoop(`${daemon} leases`, 250, () => leases.maintainLeases([CELL]))
    tasks.startLoop(`${daemon} orders`, 100, () => sendRandomOrder({ engines, orders, leases, clock, pool, random }))
  }
  await clock.runUntil(TRIAL_DURATION_MS)
  return { memoryViolations: engine.memoryViolations, loadCount: engine.loadCount }
}

interface TestDaemon {
  readonly engines: EngineClient
  readonly orders: OrderDispatcher
  readonly leases: LeaseManager
  readonly clock: Clock
  readonly pool: Pool
  readonly random: () => number
}

/** Picks a random model: unloads it if the runner has it, else loads it if it fits. Causes as many moves as the ledger allows. */
async function sendRandomOrder ({ engines, orders, leases, clock, pool, random }: TestDaemon): Promise<void> {
  const requestedAtMs = clock.readMonotonicMs()
  const state = await engines.readState('')
  if (!state.ok) return
  const report: RunnerReport = { runner: 'r', url: '', zone: 'z', state: state.value, requestedAtMs, receivedAtMs: clock.readMonotonicMs(), downSinceMs: undefined }
  orders.settleOrders(CELL, pool, report)
  if (leases.findHeldLease(CELL) === undefined || !await orders.prepareRunner(CELL, pool, report)) return
  const ledger = RunnerLedger.create(report.state, orders.listOpenOrders('r'))
  const subject = MODELS[Math.floor(random() * MODELS.length)]!
  if (ledger.hasOpenOrder(subject)) return
  const hasReplica = ledger.listReplicas('models').some((replica) => replica.id === subject)
  if (hasReplica) await orders.sendOrder({ cell: CELL, pool, report, action: 'unload-model', subject, bytes: 1 })
  else if (ledger.sumReservedBytes('models') + 1 <= CAPACITY_MODELS) await orders.sendOrder({ cell: CELL, pool, report, action: 'load-model', subject, bytes: 1 })
}

describe('order interleavings', () => {
  for (const [checksFencing, fencing] of [[true, 'checked'], [false, 'ignored']] as const) {
    test(`memory is never overcommitted on engines with fencing ${fencing}`, async () => {
      await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 1e6 }), async (seed) => {
        const trial = await runTrial(seed, checksFencing, fencing)
        expect({ seed, violations: trial.memoryViolations, hasMoved: trial.loadCount > 5 }).toEqual({ seed, violations: 0, hasMoved: true })
      }), { seed: SEED, numRuns: RUNS, endOnFailure: true })
    })
  }

  test('control: without intents, an engine that ignores fencing tokens is overcommitted', async () => {
    let violations = 0
    for (let seed = 1; seed <= RUNS && violations === 0; seed++) violations += (await runTrial(seed, false, 'checked')).memoryViolations
    expect(violations > 0).toEqual(true)
  })
})
