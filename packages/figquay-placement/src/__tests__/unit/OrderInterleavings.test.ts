/**
 * Random interleavings of leases, intents, freezes, lost, late and doubled orders, on engines that check fencing
 * numbers and on engines that ignore them; the real lease keeper and order book on a clock of the test's own.
 */
import { describe, test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { makeFailure, makeSuccess, TaskGroup, type CallFailure, type Clock, type Logger, type Outcome } from 'figquay'
import type { Pool } from 'figquay-contracts'
import { FoldedStream, LogAppender, LogService, type LogPage, type LogRecord, type NewRecord } from 'figquay-log'
import type { Membership } from 'figquay-membership'
import { LeaseManager, OrderDispatcher, PlacementFold, RunnerLedger } from 'figquay-placement'
import type { RunnerReport } from 'figquay-routing'
import { EngineClient, type CompletionEvent, type EngineOrder, type EngineState, type LoadedModel, type OrderReply } from 'figquay-upstreams'

const SEED = 20261204
const RUNS = 25
const TRIAL_MS = 60_000
const CAPACITY = 3
const SUBJECTS = ['a', 'b', 'c', 'd', 'e']
const CELL = 'cell'
const LOAD_MS = 300
const LOST: CallFailure = { sent: 'maybe', reason: 'timeout', message: 'lost' }

/** A clock that jumps from timer to timer. */
class JumpingClock implements Clock {
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

const SILENT: Logger = { debug () {}, info () {}, warn () {}, error () {} }

/** A small generator, so that a seed gives the same trial everywhere. */
function makeRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}

/** What a paused process does to the outside: nothing gets through until it wakes. */
class Gate {
  frozenUntilMs = 0

  constructor (private readonly clock: Clock) {}

  async pass (): Promise<void> {
    while (this.clock.readMonotonicMs() < this.frozenUntilMs) await this.clock.waitFor(this.frozenUntilMs - this.clock.readMonotonicMs())
  }
}

class MemoryLog extends LogService {
  constructor (private readonly records: LogRecord[], private readonly clock: Clock, private readonly gate: Gate, private readonly random: () => number) {
    super()
  }

  override async appendRecords (_stream: string, records: readonly NewRecord[]): Promise<Outcome<readonly number[], CallFailure>> {
    await this.gate.pass()
    await this.clock.waitFor(5)
    const offsets = records.map((record) => this.records.push({ ...record, offset: this.records.length, at: this.clock.readMonotonicMs() }) - 1)
    await this.gate.pass()
    return this.random() < 0.05 ? makeFailure(LOST) : makeSuccess(offsets)
  }

  override async readPage (_stream: string, from: number): Promise<Outcome<LogPage, CallFailure>> {
    await this.clock.waitFor(20)
    await this.gate.pass()
    return makeSuccess({ firstOffset: 0, endOffset: this.records.length, records: this.records.slice(from) })
  }

  override close (): void {}
}

/** The engine and the judge: memory in units, loads that take time. */
class Engine {
  readonly models = new Map<string, LoadedModel>()
  violations = 0
  loads = 0
  private fence = 0

  constructor (private readonly clock: Clock, private readonly checks: boolean) {}

  takeOrder (order: EngineOrder): OrderReply {
    if (this.checks && order.fence < this.fence) return 'stale-fence'
    if (this.checks) this.fence = order.fence
    if (order.action === 'unload-model') this.models.delete(order.subject)
    if (order.action === 'load-model' && !this.models.has(order.subject)) this.startLoad(order.subject)
    return 'accepted'
  }

  readState (): EngineState {
    return { bootId: 'boot', leaving: false, fence: this.fence, capacityBytes: CAPACITY, models: [...this.models.values()], adapters: [], load: { running: 0, waiting: 0, waitingPromptTokens: 0, stepMs: 1, prefillTokensPerSecond: 1, maxBatch: 1 }, cachedPrefixes: [] }
  }

  private startLoad (id: string): void {
    this.loads += 1
    this.models.set(id, { id, bytes: 1, phase: 'loading' })
    if (this.models.size > CAPACITY) this.violations += 1
    this.clock.waitFor(LOAD_MS).then(() => {
      if (this.models.has(id)) this.models.set(id, { id, bytes: 1, phase: 'ready' })
    }, () => undefined)
  }
}

/** The way to the engine: late, lost and doubled orders, and a sender that may freeze just before it sends. */
class FaultyClient extends EngineClient {
  constructor (private readonly engine: Engine, private readonly clock: Clock, private readonly gate: Gate, private readonly random: () => number) {
    super()
  }

  override async readState (): Promise<Outcome<EngineState, CallFailure>> {
    await this.gate.pass()
    return makeSuccess(this.engine.readState())
  }

  override async sendOrder (_url: string, order: EngineOrder): Promise<Outcome<OrderReply, CallFailure>> {
    if (this.random() < 0.08) this.gate.frozenUntilMs = this.clock.readMonotonicMs() + 2_000 + this.random() * 10_000
    await this.gate.pass()
    if (this.random() < 0.2) this.deliverLater(order, this.random() * 4_500)
    if (this.random() < 0.15) {
      this.deliverLater(order, this.random() * 4_500)
      await this.clock.waitFor(1_000)
      return makeFailure(LOST)
    }
    await this.clock.waitFor(2)
    return makeSuccess(this.engine.takeOrder(order))
  }

  override async * streamCompletion (): AsyncGenerator<CompletionEvent, void, void> {}

  override close (): void {}

  private deliverLater (order: EngineOrder, delayMs: number): void {
    this.clock.waitFor(delayMs).then(() => this.engine.takeOrder(order), () => undefined)
  }
}

interface Trial {
  readonly violations: number
  readonly loads: number
}

/** Two daemons that both want to order one engine, for a minute. */
async function runTrial (seed: number, engineChecks: boolean, fencing: Pool['fencing']): Promise<Trial> {
  const clock = new JumpingClock()
  const random = makeRandom(seed)
  const engine = new Engine(clock, engineChecks)
  const records: LogRecord[] = []
  const membership = { listVms: () => [{ id: 'd1' }, { id: 'd2' }], isLeaving: () => false, readAbsenceMs: () => 0 } as unknown as Membership
  const pool = { name: 'p', memory: CAPACITY, adapterMemory: 0, fencing } as Pool
  const tasks = TaskGroup.create(clock, SILENT)
  for (const daemon of ['d1', 'd2']) {
    const gate = new Gate(clock)
    const log = new MemoryLog(records, clock, gate, random)
    const stream = FoldedStream.create({ stream: 'placement', fold: PlacementFold.create(), log, clock, logger: SILENT })
    const appender = LogAppender.create(log, 'placement', clock)
    const holder = `${daemon}/run`
    const leases = LeaseManager.create({ holder, stream, appender, membership, clock, logger: SILENT })
    const engines = new FaultyClient(engine, clock, gate, random)
    const orders = OrderDispatcher.create({ holder, stream, appender, leases, membership, engines, clock, logger: SILENT })
    stream.start(tasks)
    tasks.startLoop(`${daemon} leases`, 250, () => leases.keepLeases([CELL]))
    tasks.startLoop(`${daemon} orders`, 100, () => orderSomething({ engines, orders, leases, clock, pool, random }))
  }
  await clock.runUntil(TRIAL_MS)
  return { violations: engine.violations, loads: engine.loads }
}

interface Holder {
  readonly engines: EngineClient
  readonly orders: OrderDispatcher
  readonly leases: LeaseManager
  readonly clock: Clock
  readonly pool: Pool
  readonly random: () => number
}

/** Loads what fits, else unloads something: as much movement as the ledger allows. */
async function orderSomething ({ engines, orders, leases, clock, pool, random }: Holder): Promise<void> {
  const requestedAtMs = clock.readMonotonicMs()
  const state = await engines.readState('')
  if (!state.ok) return
  const report: RunnerReport = { runner: 'r', url: '', zone: 'z', state: state.value, requestedAtMs, receivedAtMs: clock.readMonotonicMs(), downSinceMs: undefined }
  orders.settleOrders(CELL, pool, report)
  if (leases.readLease(CELL) === undefined || !await orders.prepareRunner(CELL, pool, report)) return
  const ledger = RunnerLedger.create(report.state, orders.listOpen('r'))
  const subject = SUBJECTS[Math.floor(random() * SUBJECTS.length)]!
  if (ledger.hasOpenOrder(subject)) return
  const isHeld = ledger.listCopies('models').some((copy) => copy.id === subject)
  if (isHeld) await orders.sendOrder({ cell: CELL, pool, report, action: 'unload-model', subject, bytes: 1 })
  else if (ledger.sumBytes('models') + 1 <= CAPACITY) await orders.sendOrder({ cell: CELL, pool, report, action: 'load-model', subject, bytes: 1 })
}

describe('order interleavings', () => {
  for (const [engineChecks, fencing] of [[true, 'checked'], [false, 'ignored']] as const) {
    test(`engines with fencing ${fencing}: memory is never exceeded`, async () => {
      await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 1e6 }), async (seed) => {
        const trial = await runTrial(seed, engineChecks, fencing)
        expect({ seed, violations: trial.violations, hasMoved: trial.loads > 5 }).toEqual({ seed, violations: 0, hasMoved: true })
      }), { seed: SEED, numRuns: RUNS, endOnFailure: true })
    })
  }

  test('without intents an engine that ignores fencing numbers is overcommitted', async () => {
    let violations = 0
    for (let seed = 1; seed <= RUNS && violations === 0; seed++) violations += (await runTrial(seed, false, 'checked')).violations
    expect(violations > 0).toEqual(true)
  })
})
