/** The leader's orders for adapters: more awaited than it can handle at once, one in demand on a busy runner, one that requests don't reach. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { JsonLogger, makeSuccess, SystemClock, type CallFailure, type Outcome } from 'figquay'
import { ConfigurationHolder, FleetDemand, FleetLeadership, FleetPlacement, FleetRunnerTable, OrderDispatcher, RunnerOrderClient, type EnginePool, type FleetOrder, type FleetOrderReply, type FleetStore, type Holdings, type ModelNeed, type ModelSpec, type Runner, type RunnerState } from '../../index.js'

/** Orders that a small VM handles at once without falling behind. */
const MAX_CONCURRENT_ORDERS = 16
const RUNNER_COUNT = 40
const ADAPTER_COUNT = 120
const ORDER_LATENCY_MS = 20
const SPEC: ModelSpec = { name: 'busy', weightsMb: 70_000, storeLoadMs: 10, diskLoadMs: 10, memoryLoadMs: 10, adapterCount: ADAPTER_COUNT, adapterMb: 60 }
const POOL: EnginePool = { slots: 8, kvTokens: 1_000, weightsMb: 230_000, adapterSlots: 5, loadsPerSecond: 1, models: new Map([['busy', SPEC]]) }
const HOLDINGS: Holdings = { models: [{ name: 'busy', adapters: [] }], coming: [], isBusy: false, inMemory: [], onDisk: [] }

/** Runners that accept every order to load after a while, and have done every order to unload. */
class SlowRunners extends RunnerOrderClient {
  readonly loaded: string[] = []
  maxConcurrent = 0
  private concurrent = 0
  private readonly sequences = new Map<string, number>()

  override async readState (runner: Runner): Promise<Outcome<RunnerState, CallFailure>> {
    await this.wait()
    return makeSuccess({ bornMs: 1, isLeaving: false, sequence: this.sequences.get(runner.id) ?? 0, holdings: runner.holdings ?? HOLDINGS })
  }

  override async sendOrder (runner: Runner, order: FleetOrder): Promise<Outcome<FleetOrderReply, CallFailure>> {
    await this.wait()
    this.sequences.set(runner.id, order.expectedSequence + 1)
    // An unused adapter is gone before the runner replies.
    if (order.action === 'unload') return makeSuccess('already-holds')
    this.loaded.push(order.adapter!)
    return makeSuccess('accepted')
  }

  private async wait (): Promise<void> {
    this.concurrent += 1
    this.maxConcurrent = Math.max(this.maxConcurrent, this.concurrent)
    await SystemClock.create().waitFor(ORDER_LATENCY_MS)
    this.concurrent -= 1
  }
}

function makePlacement (runnerCount = RUNNER_COUNT, firstHoldings = HOLDINGS, adapterSlots = POOL.adapterSlots): { readonly client: SlowRunners, readonly demand: FleetDemand, readonly placement: FleetPlacement, readonly table: FleetRunnerTable, readonly leadership: FleetLeadership } {
  const clock = SystemClock.create()
  const logger = JsonLogger.create('test', 'silent')
  const client = new SlowRunners()
  const table = FleetRunnerTable.create(clock)
  for (let index = 0; index < runnerCount; index += 1) table.putRunner({ id: `r${index}`, service: 's', address: '127.0.0.1:1', zone: 'z', slots: 8, isLeaving: false, bornMs: 1, holdings: index === 0 ? firstHoldings : HOLDINGS }, index)
  const store = { writeShared: async () => makeSuccess({ type: 'written', position: 4 }) } as unknown as FleetStore
  const leadership = FleetLeadership.create({ self: 'd', bootId: 'b', store, clock, logger, listConnected: () => [], isEligible: () => true })
  leadership.applyLeaderRecord(JSON.stringify({ daemon: 'd', boot: 'b' }), 4)
  const orders = OrderDispatcher.create({ self: 'd', client, table, leadership, clock, logger, announceHoldings: () => {}, announceLeaving: () => {} })
  const configurations = ConfigurationHolder.create()
  configurations.adoptConfiguration({ version: 1, routes: [], services: new Map([['s', { name: 's', healthPath: '/h', maxConnections: 1, engine: { ...POOL, adapterSlots } }]]), customers: undefined, limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
  const demand = FleetDemand.create(clock)
  return { client, demand, table, leadership, placement: FleetPlacement.create({ clock, logger, configurations, table, demand, leadership, orders, sumOpenRequests: () => new Map() }) }
}

function makeNeeds (numbers: readonly number[], waiting: number): ModelNeed[] {
  return numbers.map((number) => ({ service: 's', model: 'busy', adapter: `a${number}`, waiting }))
}

describe('leader with more awaited adapters than it can order at once', () => {
  it('has a bounded number of orders under way, and loads all adapters in time', async () => {
    const { client, demand, placement } = makePlacement()
    const awaited = Array.from({ length: 60 }, (_, index) => index + 1)
    const startedAtMs = performance.now()
    while (client.loaded.length < awaited.length && performance.now() - startedAtMs < 5_000) {
      demand.putNeeds('d1', makeNeeds(awaited.filter((number) => !client.loaded.includes(`a${number}`)), 1))
      placement.runPlans()
      await SystemClock.create().waitFor(10)
    }
    expect([client.maxConcurrent <= MAX_CONCURRENT_ORDERS, awaited.every((number) => client.loaded.includes(`a${number}`))]).toEqual([true, true])
  })

  it('loads the adapters first that have been asked for longest, however many wait for others', async () => {
    const { client, demand, placement } = makePlacement()
    const rare = [101, 102, 103]
    demand.putNeeds('d1', makeNeeds(rare, 1))
    // More adapters are awaited than the first plan can order; those that come later have more requests waiting.
    demand.putNeeds('d2', makeNeeds(Array.from({ length: 60 }, (_, index) => index + 1), 9))
    placement.runPlans()
    await SystemClock.create().waitFor(5)
    demand.putNeeds('d3', makeNeeds(Array.from({ length: 30 }, (_, index) => index + 61), 50))
    const findFirstNew = (): number => client.loaded.findIndex((adapter) => Number(adapter.slice(1)) > 60 && Number(adapter.slice(1)) <= 90)
    const startedAtMs = performance.now()
    for (let plan = 0; plan < 20 || (findFirstNew() < 0 && performance.now() - startedAtMs < 5_000); plan += 1) {
      demand.putNeeds('d1', makeNeeds(rare, 1))
      placement.runPlans()
      await SystemClock.create().waitFor(10)
    }
    expect([findFirstNew() >= 0, rare.every((number) => client.loaded.includes(`a${number}`) && client.loaded.indexOf(`a${number}`) < findFirstNew())]).toEqual([true, true])
  })
})

describe('leader with an adapter that one of two runners holds', () => {
  const held: Holdings = { ...HOLDINGS, models: [{ name: 'busy', adapters: ['a110'] }] }

  async function runPlansUntilLoaded ({ placement, client, leadership }: ReturnType<typeof makePlacement>, prepare: () => void, timeoutMs: number): Promise<boolean> {
    const startedAtMs = performance.now()
    while (!client.loaded.includes('a110') && performance.now() - startedAtMs < timeoutMs) {
      prepare()
      await leadership.refresh()
      placement.runPlans()
      await SystemClock.create().waitFor(10)
    }
    return client.loaded.includes('a110')
  }

  it('loads it on the other one too once the first is busy, and not before', async () => {
    // More slots than adapters, as an eviction would take 10 s without use.
    const fleet = makePlacement(2, held, ADAPTER_COUNT)
    const noteUse = (): void => fleet.placement.recordAdapterUse('r0', 'busy/a110')
    expect(await runPlansUntilLoaded(fleet, noteUse, 300)).toEqual(false)
    for (let request = 0; request < 4; request += 1) fleet.table.trackRequest('r0', { requestId: `${request}`, fingerprint: '', model: 'busy', pendingTokens: 9_000, sentAtMs: performance.now(), hasOutput: false })
    expect(await runPlansUntilLoaded(fleet, noteUse, 5_000)).toEqual(true)
  })

  it('loads it on the other one too if requests go on waiting for it', async () => {
    const fleet = makePlacement(2, held)
    const wait = (): void => fleet.demand.putNeeds('d1', makeNeeds([110], 1))
    expect(await runPlansUntilLoaded(fleet, wait, 1_000)).toEqual(false)
    expect(await runPlansUntilLoaded(fleet, wait, 5_000)).toEqual(true)
  })
})
