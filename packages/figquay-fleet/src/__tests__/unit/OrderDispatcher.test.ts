/** Orders never exceed a runner's memory or adapter slots, whatever is announced, lost or delayed. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { JsonLogger, makeFailure, makeSuccess, SystemClock, type CallFailure, type Outcome } from 'figquay'
import { checkOrder, FleetLeadership, FleetRunnerTable, OrderDispatcher, RunnerOrderClient, type EnginePool, type FleetOrder, type FleetOrderReply, type FleetStore, type Holdings, type ModelSpec, type OrderRequest, type Runner, type RunnerState } from '../../index.js'

const SPEC: ModelSpec = { name: 'a', weightsMb: 70_000, storeLoadMs: 10, diskLoadMs: 10, memoryLoadMs: 10, adapterCount: 9, adapterMb: 60 }
const POOL: EnginePool = {
  slots: 8, kvTokens: 1_000, weightsMb: 230_000, adapterSlots: 2, loadsPerSecond: 1, models: new Map(['a', 'b', 'c', 'd'].map((name) => [name, { ...SPEC, name }]))
}

function makeHoldings (names: readonly string[], changes: Partial<Holdings> = {}): Holdings {
  return { models: names.map((name) => ({ name, adapters: [] })), coming: [], isBusy: false, inMemory: [], onDisk: [], ...changes }
}

/** A runner that executes orders only at the expected sequence, and may lose its replies. */
class FakeRunner extends RunnerOrderClient {
  sequence = 0
  bornMs = 1
  isLeaving = false
  highestFence = 0
  losesReplies = false
  isUnresponsive = false
  readonly accepted: FleetOrder[] = []
  constructor (public holdings: Holdings) {
    super()
  }

  override async readState (): Promise<Outcome<RunnerState, CallFailure>> {
    if (this.isUnresponsive) return makeFailure({ sent: 'maybe', reason: 'timeout', message: 'silent' })
    return makeSuccess({ bornMs: this.bornMs, isLeaving: this.isLeaving, sequence: this.sequence, holdings: this.holdings })
  }

  override async sendOrder (_runner: Runner, order: FleetOrder): Promise<Outcome<FleetOrderReply, CallFailure>> {
    if (this.losesReplies) return makeFailure({ sent: 'maybe', reason: 'timeout', message: 'lost' })
    return makeSuccess(this.executeOrder(order))
  }

  executeOrder (order: FleetOrder): FleetOrderReply {
    if (order.fence < this.highestFence) return 'stale-fence'
    this.highestFence = order.fence
    if (order.expectedSequence !== this.sequence) return 'conflict'
    this.sequence += 1
    this.accepted.push(order)
    return 'accepted'
  }
}

interface Fixture {
  readonly runner: FakeRunner
  readonly table: FleetRunnerTable
  readonly dispatcher: OrderDispatcher
  readonly leadership: FleetLeadership
  /** Runners announced to peers as draining. */
  readonly announcedLeaving: readonly string[]
}

async function makeFixture (holdings: Holdings): Promise<Fixture> {
  const clock = SystemClock.create()
  const logger = JsonLogger.create('test', 'silent')
  const runner = new FakeRunner(holdings)
  const announcedLeaving: string[] = []
  const table = FleetRunnerTable.create(clock)
  table.putRunner({ id: 'r', service: 's', address: '127.0.0.1:1', zone: 'z', slots: 8, isLeaving: false, bornMs: 1, holdings }, 1)
  const store = { writeShared: async () => makeSuccess({ type: 'written', position: 4 }) } as unknown as FleetStore
  const leadership = FleetLeadership.create({ self: 'd', bootId: 'b', store, clock, logger, listConnected: () => [], isEligible: () => true })
  leadership.applyLeaderRecord(JSON.stringify({ daemon: 'd', boot: 'b' }), 4)
  const dispatcher = OrderDispatcher.create({ self: 'd', client: runner, table, leadership, clock, logger, announceHoldings: () => {}, announceLeaving: (id) => announcedLeaving.push(id) })
  return { runner, table, dispatcher, leadership, announcedLeaving }
}

function makeRequest (changes: Partial<OrderRequest> = {}): OrderRequest {
  return { runner: 'r', action: 'load', model: 'd', adapter: undefined, pool: POOL, reason: 'test', ...changes }
}

describe('order dispatcher', () => {
  it('never sends a load that exceeds the memory, whatever is announced', async () => {
    const { runner, table, dispatcher } = await makeFixture(makeHoldings(['a', 'b', 'c']))
    table.putRunner({ ...table.findRunner('r')!, holdings: makeHoldings([]) }, 2)
    expect(await dispatcher.sendOrder(makeRequest())).toEqual('failed')
    expect(runner.accepted).toEqual([])
  })

  it('sends no load while an unload is in progress', async () => {
    const { runner, dispatcher } = await makeFixture(makeHoldings(['a', 'b', 'c']))
    expect(await dispatcher.sendOrder(makeRequest({ action: 'unload', model: 'a' }))).toEqual('accepted')
    expect(await dispatcher.sendOrder(makeRequest())).toEqual('failed')
    expect(runner.accepted.map((order) => order.action)).toEqual(['unload'])
  })

  it('keeps the slot of an adapter that requests still use', async () => {
    const { runner, dispatcher } = await makeFixture({ ...makeHoldings([]), models: [{ name: 'a', adapters: ['a1', 'a2'] }] })
    expect(await dispatcher.sendOrder(makeRequest({ action: 'unload', model: 'a', adapter: 'a1' }))).toEqual('accepted')
    expect(await dispatcher.sendOrder(makeRequest({ model: 'a', adapter: 'a3' }))).toEqual('failed')
    expect(runner.accepted.length).toEqual(1)
  })

  it('makes a delayed order ineffective by the next one', async () => {
    const { runner, dispatcher } = await makeFixture(makeHoldings(['a', 'b']))
    runner.losesReplies = true
    expect(await dispatcher.sendOrder(makeRequest({ model: 'c' }))).toEqual('failed')
    runner.losesReplies = false
    await SystemClock.create().waitFor(320)
    expect(await dispatcher.sendOrder(makeRequest())).toEqual('accepted')
    expect(runner.executeOrder({ action: 'load', model: 'c', adapter: undefined, expectedSequence: 0, holder: 'd', fence: 5 })).toEqual('conflict')
  })

  it('reads the state again of a runner that restarted under its id', async () => {
    const { runner, table, dispatcher } = await makeFixture(makeHoldings(['a']))
    await dispatcher.sendOrder(makeRequest())
    Object.assign(runner, { bornMs: 2, sequence: 0, holdings: makeHoldings([]) })
    table.putRunner({ ...table.findRunner('r')!, bornMs: 2, holdings: makeHoldings([]) }, 3)
    expect(await dispatcher.sendOrder(makeRequest({ model: 'b' }))).toEqual('accepted')
    expect(runner.accepted.at(-1)?.expectedSequence).toEqual(0)
  })

  it('sends no order to a runner that reports draining, and announces that to peers', async () => {
    const { runner, dispatcher, announcedLeaving } = await makeFixture(makeHoldings(['a']))
    runner.isLeaving = true
    expect([await dispatcher.sendOrder(makeRequest()), runner.accepted.length, announcedLeaving]).toEqual(['failed', 0, ['r']])
  })

  it('backs off from a runner that does not answer, and reports it as unresponsive', async () => {
    const { runner, dispatcher, leadership } = await makeFixture(makeHoldings(['a']))
    const refreshTimer = setInterval(() => leadership.refresh(), 50)
    runner.isUnresponsive = true
    expect([await dispatcher.sendOrder(makeRequest()), dispatcher.isUnresponsive('r'), dispatcher.isReady('r')]).toEqual(['failed', true, false])
    await SystemClock.create().waitFor(650)
    expect([dispatcher.isReady('r'), await dispatcher.sendOrder(makeRequest())]).toEqual([true, 'failed'])
    await SystemClock.create().waitFor(650)
    expect(dispatcher.isReady('r')).toEqual(false)
    await SystemClock.create().waitFor(700)
    runner.isUnresponsive = false
    expect([await dispatcher.sendOrder(makeRequest()), dispatcher.isUnresponsive('r')]).toEqual(['accepted', false])
    clearInterval(refreshTimer)
  })

  it('gives up leadership when a runner has seen a higher fencing token, and sends no more orders', async () => {
    const { runner, dispatcher, leadership } = await makeFixture(makeHoldings(['a']))
    runner.highestFence = 9
    expect(await dispatcher.sendOrder(makeRequest())).toEqual('failed')
    expect(leadership.fencingToken).toEqual(undefined)
    await SystemClock.create().waitFor(320)
    expect(await dispatcher.sendOrder(makeRequest())).toEqual('failed')
    expect(runner.accepted).toEqual([])
  })
})

describe('order check', () => {
  it('counts adapters being loaded as used slots, and reserves memory for all slots', () => {
    const order = { action: 'load', model: 'a', adapter: 'a3' } as const
    expect(checkOrder({ ...makeHoldings(['a']), coming: ['a/a1'] }, order, POOL)).toEqual(undefined)
    expect(checkOrder({ ...makeHoldings(['a']), coming: ['a/a1', 'a/a2'] }, order, POOL)).toEqual('no free adapter slot')
    const tight = { ...POOL, weightsMb: 210_000 }
    expect(checkOrder(makeHoldings(['a', 'b']), { action: 'load', model: 'c', adapter: undefined }, tight)).toEqual('not enough memory for the model')
  })
})
