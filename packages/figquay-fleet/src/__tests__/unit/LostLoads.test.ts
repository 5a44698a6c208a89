/** Replays why a model was missing for 10 s: the runner chosen for it left, the next one was silent, and both loads counted against the weight store's limit. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { JsonLogger, makeFailure, makeSuccess, SystemClock, type CallFailure, type Outcome } from 'figquay'
import { ConfigurationHolder, FleetDemand, FleetLeadership, FleetPlacement, FleetRunnerTable, OrderDispatcher, RunnerOrderClient, type EnginePool, type FleetOrder, type FleetOrderReply, type FleetStore, type Holdings, type ModelSpec, type Runner, type RunnerState } from '../../index.js'

const LOAD_MS = 300
const SILENCE_MS = 200
const SPEC: ModelSpec = { name: 'rare', weightsMb: 30_000, storeLoadMs: LOAD_MS, diskLoadMs: 60, memoryLoadMs: 60, adapterCount: 0, adapterMb: 0 }
/** The weight store allows two loads in 5 s. */
const POOL: EnginePool = { slots: 8, kvTokens: 1_000, weightsMb: 83_000, adapterSlots: 2, loadsPerSecond: 0.4, models: new Map([['rare', SPEC]]) }
const EMPTY: Holdings = { models: [], coming: [], isBusy: false, inMemory: [], onDisk: [] }

/** Runners that load a model in their time, unless they are silent. */
class LoadingRunners extends RunnerOrderClient {
  readonly ordered: string[] = []
  private readonly loadedAtMs = new Map<string, number>()

  constructor (private readonly isSilent: (runner: string) => boolean) {
    super()
  }

  override async readState (runner: Runner): Promise<Outcome<RunnerState, CallFailure>> {
    if (this.isSilent(runner.id)) {
      await SystemClock.create().waitFor(SILENCE_MS)
      return makeFailure({ sent: 'maybe', reason: 'timeout', message: 'silent' })
    }
    const readyAtMs = this.loadedAtMs.get(runner.id)
    const isBusy = readyAtMs !== undefined && performance.now() < readyAtMs
    const models = readyAtMs === undefined || isBusy ? [] : [{ name: SPEC.name, adapters: [] }]
    return makeSuccess({ bornMs: 1, isLeaving: false, sequence: readyAtMs === undefined ? 0 : 1, holdings: { ...EMPTY, models, isBusy } })
  }

  override async sendOrder (runner: Runner, _order: FleetOrder): Promise<Outcome<FleetOrderReply, CallFailure>> {
    this.ordered.push(runner.id)
    this.loadedAtMs.set(runner.id, performance.now() + LOAD_MS)
    return makeSuccess('accepted')
  }
}

function makeFleet (runnerIds: readonly string[], client: LoadingRunners): { readonly table: FleetRunnerTable, readonly runPlan: () => Promise<void>, readonly placement: FleetPlacement } {
  const clock = SystemClock.create()
  const logger = JsonLogger.create('test', 'silent')
  const table = FleetRunnerTable.create(clock)
  runnerIds.forEach((id, index) => table.putRunner({ id, service: 's', address: '127.0.0.1:1', zone: 'z', slots: 8, isLeaving: false, bornMs: 1, holdings: EMPTY }, index))
  const store = { writeShared: async () => makeSuccess({ type: 'written', position: 4 }) } as unknown as FleetStore
  const leadership = FleetLeadership.create({ self: 'd', bootId: 'b', store, clock, logger, listConnected: () => [], isEligible: () => true })
  leadership.applyLeaderRecord(JSON.stringify({ daemon: 'd', boot: 'b' }), 4)
  const orders = OrderDispatcher.create({ self: 'd', client, table, leadership, clock, logger, announceHoldings: () => {}, announceLeaving: () => {} })
  const configurations = ConfigurationHolder.create()
  configurations.adoptConfiguration({ version: 1, routes: [], services: new Map([['s', { name: 's', healthPath: '/h', maxConnections: 1, engine: POOL }]]), customers: undefined, limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
  const demand = FleetDemand.create(clock)
  const placement = FleetPlacement.create({ clock, logger, configurations, table, demand, leadership, orders, sumOpenRequests: () => new Map() })
  const runPlan = async (): Promise<void> => {
    if (!table.hasRunnerWithModel('s', 'rare')) demand.putNeeds('d1', [{ service: 's', model: 'rare', adapter: undefined, waiting: 1 }])
    await leadership.refresh()
    placement.runPlans()
    await clock.waitFor(20)
  }
  return { table, runPlan, placement }
}

/** Returns the time until a runner has the model, in milliseconds. */
async function measureMissingMs (runPlan: () => Promise<void>, table: FleetRunnerTable, timeoutMs: number): Promise<number> {
  const startedAtMs = performance.now()
  while (!table.hasRunnerWithModel('s', 'rare') && performance.now() - startedAtMs < timeoutMs) await runPlan()
  return performance.now() - startedAtMs
}

describe('model whose load is lost', () => {
  it('is loaded elsewhere at once when its runner leaves, though the next one is silent', async () => {
    let isSecondSilent = true
    const client = new LoadingRunners((id) => id === 'r2' && isSecondSilent)
    const { table, runPlan } = makeFleet(['r1', 'r2', 'r3'], client)
    while (client.ordered.length === 0) await runPlan()
    table.markLeaving(client.ordered[0]!, 1)
    const missingMs = await measureMissingMs(runPlan, table, 10_000)
    isSecondSilent = false
    // One silence, one load, and the pauses between orders and reads.
    expect([missingMs < 2_000, client.ordered]).toEqual([true, ['r1', 'r3']])
  })

  it('is not loaded a second time while its runner works', async () => {
    const client = new LoadingRunners(() => false)
    const { table, runPlan } = makeFleet(['r1', 'r2', 'r3'], client)
    await measureMissingMs(runPlan, table, 10_000)
    expect(client.ordered).toEqual(['r1'])
  })

  it('is forecast to be ready when it is, and no longer once it is', async () => {
    const { table, runPlan, placement } = makeFleet(['r1', 'r2'], new LoadingRunners(() => false))
    const need = { service: 's', model: 'rare', adapter: undefined, waiting: 1 }
    expect(placement.listForecasts([need])).toEqual([])
    await runPlan()
    const [forecast] = placement.listForecasts([need])
    const missingMs = await measureMissingMs(runPlan, table, 10_000)
    const isInTime = missingMs < forecast!.readyInMs! + forecast!.doubtMs
    expect([forecast!.reason, forecast!.fence, isInTime, placement.listForecasts([need])]).toEqual(['loading', 5, true, []])
  })
})
