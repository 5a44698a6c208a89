/** Orders never exceed a runner's memory or places, whatever is announced, lost or late. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { JsonLogger, makeFailure, makeSuccess, SystemClock, type CallFailure, type Outcome } from 'figquay'
import { checkOrder, FleetLeadership, FleetRunnerTable, OrderBook, RunnerOrderClient, type EnginePool, type FleetOrder, type FleetOrderReply, type FleetStore, type Holdings, type ModelSpec, type OrderRequest, type Runner, type RunnerState } from '../../index.js'

const SPEC: ModelSpec = { name: 'a', weightsMb: 70_000, storeLoadMs: 10, diskLoadMs: 10, memoryLoadMs: 10, adapterCount: 9, adapterMb: 60 }
const POOL: EnginePool = {
  slots: 8, kvTokens: 1_000, weightsMb: 230_000, adapterSlots: 2, loadsPerSecond: 1, models: new Map(['a', 'b', 'c', 'd'].map((name) => [name, { ...SPEC, name }]))
}

function makeHoldings (names: readonly string[], changes: Partial<Holdings> = {}): Holdings {
  return { models: names.map((name) => ({ name, adapters: [] })), coming: [], isBusy: false, inMemory: [], onDisk: [], ...changes }
}

/** A runner that carries orders out only at the expected count, and may lose an answer. */
class FakeRunner extends RunnerOrderClient {
  sequence = 0
  bornMs = 1
  isLeaving = false
  highestFence = 0
  losesAnswers = false
  isSilent = false
  readonly accepted: FleetOrder[] = []
  constructor (public holdings: Holdings) {
    super()
  }

  override async readState (): Promise<Outcome<RunnerState, CallFailure>> {
    if (this.isSilent) return makeFailure({ sent: 'maybe', reason: 'timeout', message: 'silent' })
    return makeSuccess({ bornMs: this.bornMs, isLeaving: this.isLeaving, sequence: this.sequence, holdings: this.holdings })
  }

  override async sendOrder (_runner: Runner, order: FleetOrder): Promise<Outcome<FleetOrderReply, CallFailure>> {
    if (this.losesAnswers) return makeFailure({ sent: 'maybe', reason: 'timeout', message: 'lost' })
    return makeSuccess(this.carryOut(order))
  }

  carryOut (order: FleetOrder): FleetOrderReply {
    if (order.fence < this.highestFence) return 'stale-fence'
    this.highestFence = order.fence
    if (order.expectedSequence !== this.sequence) return 'conflict'
    this.sequence += 1
    this.accepted.push(order)
    return 'accepted'
  }
}

interface Bench {
  readonly runner: FakeRunner
  readonly table: FleetRunnerTable
  readonly book: OrderBook
  readonly leadership: FleetLeadership
  /** Runners that the peers were told of as leaving. */
  readonly leaving: readonly string[]
}

async function makeBench (holdings: Holdings): Promise<Bench> {
  const clock = SystemClock.create()
  const logger = JsonLogger.create('test', 'silent')
  const runner = new FakeRunner(holdings)
  const leaving: string[] = []
  const table = FleetRunnerTable.create(clock)
  table.putRunner({ id: 'r', service: 's', address: '127.0.0.1:1', zone: 'z', slots: 8, isLeaving: false, bornMs: 1, holdings }, 1)
  const store = { writeShared: async () => makeSuccess({ type: 'written', position: 4 }) } as unknown as FleetStore
  const leadership = FleetLeadership.create({ self: 'd', bootId: 'b', store, clock, logger, listConnected: () => [], mayApply: () => true })
  leadership.noteRecord(JSON.stringify({ daemon: 'd', boot: 'b' }), 4)
  const book = OrderBook.create({ self: 'd', client: runner, table, leadership, clock, logger, announceHoldings: () => {}, announceLeaving: (id) => leaving.push(id) })
  return { runner, table, book, leadership, leaving }
}

function makeRequest (changes: Partial<OrderRequest> = {}): OrderRequest {
  return { runner: 'r', action: 'load', model: 'd', adapter: undefined, pool: POOL, reason: 'test', ...changes }
}

describe('order book', () => {
  it('never sends a load for which there is no memory, whatever is announced', async () => {
    const { runner, table, book } = await makeBench(makeHoldings(['a', 'b', 'c']))
    table.putRunner({ ...table.findRunner('r')!, holdings: makeHoldings([]) }, 2)
    expect(await book.sendOrder(makeRequest())).toEqual('failed')
    expect(runner.accepted).toEqual([])
  })

  it('sends no load while an unload is under way', async () => {
    const { runner, book } = await makeBench(makeHoldings(['a', 'b', 'c']))
    expect(await book.sendOrder(makeRequest({ action: 'unload', model: 'a' }))).toEqual('accepted')
    expect(await book.sendOrder(makeRequest())).toEqual('failed')
    expect(runner.accepted.map((order) => order.action)).toEqual(['unload'])
  })

  it('keeps the place of an adapter that requests still use', async () => {
    const { runner, book } = await makeBench({ ...makeHoldings([]), models: [{ name: 'a', adapters: ['a1', 'a2'] }] })
    expect(await book.sendOrder(makeRequest({ action: 'unload', model: 'a', adapter: 'a1' }))).toEqual('accepted')
    expect(await book.sendOrder(makeRequest({ model: 'a', adapter: 'a3' }))).toEqual('failed')
    expect(runner.accepted.length).toEqual(1)
  })

  it('makes an order that comes late without effect by the next one', async () => {
    const { runner, book } = await makeBench(makeHoldings(['a', 'b']))
    runner.losesAnswers = true
    expect(await book.sendOrder(makeRequest({ model: 'c' }))).toEqual('failed')
    runner.losesAnswers = false
    await SystemClock.create().waitFor(320)
    expect(await book.sendOrder(makeRequest())).toEqual('accepted')
    expect(runner.carryOut({ action: 'load', model: 'c', adapter: undefined, expectedSequence: 0, holder: 'd', fence: 5 })).toEqual('conflict')
  })

  it('reads a runner anew that has started again under its id', async () => {
    const { runner, table, book } = await makeBench(makeHoldings(['a']))
    await book.sendOrder(makeRequest())
    Object.assign(runner, { bornMs: 2, sequence: 0, holdings: makeHoldings([]) })
    table.putRunner({ ...table.findRunner('r')!, bornMs: 2, holdings: makeHoldings([]) }, 3)
    expect(await book.sendOrder(makeRequest({ model: 'b' }))).toEqual('accepted')
    expect(runner.accepted.at(-1)?.expectedSequence).toEqual(0)
  })

  it('gives no order to a runner whose report says that it leaves, and tells the peers', async () => {
    const { runner, book, leaving } = await makeBench(makeHoldings(['a']))
    runner.isLeaving = true
    expect([await book.sendOrder(makeRequest()), runner.accepted.length, leaving]).toEqual(['failed', 0, ['r']])
  })

  it('asks a runner that does not answer more and more seldom, and says that it is silent', async () => {
    const { runner, book, leadership } = await makeBench(makeHoldings(['a']))
    const looks = setInterval(() => leadership.refresh(), 50)
    runner.isSilent = true
    expect([await book.sendOrder(makeRequest()), book.isSilent('r'), book.isReady('r')]).toEqual(['failed', true, false])
    await SystemClock.create().waitFor(650)
    expect([book.isReady('r'), await book.sendOrder(makeRequest())]).toEqual([true, 'failed'])
    await SystemClock.create().waitFor(650)
    expect(book.isReady('r')).toEqual(false)
    await SystemClock.create().waitFor(700)
    runner.isSilent = false
    expect([await book.sendOrder(makeRequest()), book.isSilent('r')]).toEqual(['accepted', false])
    clearInterval(looks)
  })

  it('gives the office up when a runner has seen a higher fence, and orders no more', async () => {
    const { runner, book, leadership } = await makeBench(makeHoldings(['a']))
    runner.highestFence = 9
    expect(await book.sendOrder(makeRequest())).toEqual('failed')
    expect(leadership.ownFence).toEqual(undefined)
    await SystemClock.create().waitFor(320)
    expect(await book.sendOrder(makeRequest())).toEqual('failed')
    expect(runner.accepted).toEqual([])
  })
})

describe('check of an order', () => {
  it('counts coming adapters as taken, and keeps room for all adapters', () => {
    const order = { action: 'load', model: 'a', adapter: 'a3' } as const
    expect(checkOrder({ ...makeHoldings(['a']), coming: ['a/a1'] }, order, POOL)).toEqual(undefined)
    expect(checkOrder({ ...makeHoldings(['a']), coming: ['a/a1', 'a/a2'] }, order, POOL)).toEqual('no place for another adapter')
    const tight = { ...POOL, weightsMb: 210_000 }
    expect(checkOrder(makeHoldings(['a', 'b']), { action: 'load', model: 'c', adapter: undefined }, tight)).toEqual('no memory for the model')
  })
})
