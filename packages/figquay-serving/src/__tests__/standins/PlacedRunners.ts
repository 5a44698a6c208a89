/** A leader that places models on runners, on virtual time. */
import { JsonLogger, makeSuccess, type CallFailure, type Outcome } from 'figquay'
import { ConfigurationHolder, FleetDemand, FleetLeadership, FleetPlacement, FleetRunnerTable, makeRunnerModelKey, OrderDispatcher, RunnerOrderClient, type EnginePool, type FleetOrder, type FleetOrderReply, type FleetStore, type Holdings, type ModelNeed, type ModelSpec, type Runner, type RunnerState } from 'figquay-fleet'
import { CONFIGURATION } from './ScriptedRouter.js'
import { SimulatedClock } from './SimulatedClock.js'

const SERVICE = 's'
const MODEL_MB = 72_700
const LOAD_MS = 4_200
const DISK_LOAD_MS = 840
const UNLOAD_MS = 50
const ORDER_MS = 2
/** Memory of a runner: two models. */
const RUNNER_MB = 200_000
/** The leader confirms itself this often, in milliseconds. */
const LEADERSHIP_INTERVAL_MS = 100

interface RunnerMemory {
  holdings: Holdings
  sequence: number
}

/** Runners that carry out orders in their time. */
class TimedRunners extends RunnerOrderClient {
  readonly memories = new Map<string, RunnerMemory>()

  constructor (private readonly clock: SimulatedClock, private readonly orderMs: number) {
    super()
  }

  override async readState ({ id }: Runner): Promise<Outcome<RunnerState, CallFailure>> {
    await this.clock.waitFor(2)
    const { holdings, sequence } = this.memories.get(id)!
    return makeSuccess({ bornMs: 1, isLeaving: false, sequence, holdings })
  }

  override async sendOrder ({ id }: Runner, { action, model, adapter }: FleetOrder): Promise<Outcome<FleetOrderReply, CallFailure>> {
    await this.clock.waitFor(this.orderMs)
    const memory = this.memories.get(id)!
    if (memory.holdings.isBusy) return makeSuccess('conflict' as FleetOrderReply)
    memory.sequence += 1
    const others = memory.holdings.models.filter(({ name }) => name !== model)
    if (adapter !== undefined) {
      const held = memory.holdings.models.find(({ name }) => name === model)?.adapters.filter((name) => name !== adapter) ?? []
      memory.holdings = { ...memory.holdings, models: [...others, { name: model, adapters: action === 'load' ? [...held, adapter] : held }] }
      return makeSuccess(action === 'load' ? 'accepted' : 'already-holds')
    }
    const isOnDisk = memory.holdings.onDisk.includes(model)
    const durationMs = action === 'unload' ? UNLOAD_MS : isOnDisk ? DISK_LOAD_MS : LOAD_MS
    memory.holdings = { ...memory.holdings, models: action === 'unload' ? others : memory.holdings.models, isBusy: true }
    this.clock.waitFor(durationMs).then(() => {
      const models = action === 'load' ? [...memory.holdings.models, { name: model, adapters: [] }] : memory.holdings.models
      memory.holdings = { ...memory.holdings, models, isBusy: false, onDisk: [...new Set([...memory.holdings.onDisk, model])] }
    })
    return makeSuccess('accepted')
  }
}

/** Options of the fleet. */
export interface PlacedRunnersOptions {
  /** Models that each runner holds at first. */
  readonly held: ReadonlyArray<readonly string[]>
  readonly models: readonly string[]
  readonly storeLoadsPerSecond: number
  /** Time until a runner answers an order, in milliseconds. */
  readonly orderMs?: number
  readonly adapterCount?: number
  readonly adapterSlots?: number
  /** Interval between two plans of the leader, in milliseconds. */
  readonly planMs: number
}

/** Runners and the leader that places models on them. */
export class PlacedRunners {
  readonly clock = SimulatedClock.create()
  readonly demand = FleetDemand.create(this.clock)
  readonly table = FleetRunnerTable.create(this.clock)
  readonly placement: FleetPlacement
  readonly client: TimedRunners
  /** Time at which a runner had the model, or the adapter by key, for the first time. */
  readonly loadedAtMs = new Map<string, number>()
  /** Requests in progress on each replica. */
  openRequests = 0
  private readonly leadership: FleetLeadership

  private constructor (private readonly options: PlacedRunnersOptions) {
    const { clock, demand, table } = this
    const client = new TimedRunners(clock, options.orderMs ?? ORDER_MS)
    this.client = client
    const logger = JsonLogger.create('test', 'silent')
    options.held.forEach((models, index) => {
      const holdings: Holdings = { models: models.map((name) => ({ name, adapters: [] })), coming: [], isBusy: false, inMemory: [], onDisk: models }
      client.memories.set(`r${index}`, { holdings, sequence: 0 })
      table.putRunner({ id: `r${index}`, service: SERVICE, address: '127.0.0.1:1', zone: 'z', slots: 64, isLeaving: false, bornMs: 1, holdings }, index)
    })
    const store = { writeShared: async () => makeSuccess({ type: 'written', position: 4 }) } as unknown as FleetStore
    this.leadership = FleetLeadership.create({ self: 'd', bootId: 'b', store, clock, logger, listConnected: () => [], isEligible: () => true })
    this.leadership.applyLeaderRecord(JSON.stringify({ daemon: 'd', boot: 'b' }), 4)
    const configurations = ConfigurationHolder.create()
    const models = new Map(options.models.map((name): [string, ModelSpec] => [name, { name, weightsMb: MODEL_MB, storeLoadMs: LOAD_MS, diskLoadMs: DISK_LOAD_MS, memoryLoadMs: DISK_LOAD_MS, adapterCount: options.adapterCount ?? 0, adapterMb: 60 }]))
    const engine: EnginePool = { slots: 64, kvTokens: 200_000, weightsMb: RUNNER_MB, adapterSlots: options.adapterSlots ?? 8, loadsPerSecond: options.storeLoadsPerSecond, models }
    configurations.adoptConfiguration({ ...CONFIGURATION, services: new Map([[SERVICE, { name: SERVICE, healthPath: '/h', maxConnections: 1, engine }]]) })
    const orders = OrderDispatcher.create({ self: 'd', client, table, leadership: this.leadership, clock, logger, announceHoldings: () => {}, announceLeaving: () => {} })
    const sumOpenRequests = (): ReadonlyMap<string, number> => new Map([...client.memories].flatMap(([id, { holdings }]) => holdings.models.map(({ name }): [string, number] => [makeRunnerModelKey(id, name), this.openRequests])))
    this.placement = FleetPlacement.create({ clock, logger, configurations, table, demand, leadership: this.leadership, orders, sumOpenRequests })
  }

  /**
   * @example
   * const fleet = PlacedRunners.create(options)
   */
  static create (options: PlacedRunnersOptions): PlacedRunners {
    return new PlacedRunners(options)
  }

  /** Whether a runner holds a model, or an adapter of it. */
  isLoaded (model: string, adapter?: string): boolean {
    return [...this.client.memories.values()].some(({ holdings }) => holdings.models.some(({ name, adapters }) => name === model && (adapter === undefined || adapters.includes(adapter))))
  }

  private noteLoaded (): void {
    const names = [...this.client.memories.values()].flatMap(({ holdings }) => holdings.models.map(({ name }) => name))
    for (const name of names.filter((name) => !this.loadedAtMs.has(name))) this.loadedAtMs.set(name, this.clock.readMonotonicMs())
  }

  /** Has the leader plan for a while. */
  async runFor (ms: number): Promise<void> {
    const untilMs = this.clock.readMonotonicMs() + ms
    while (this.clock.readMonotonicMs() < untilMs) {
      for (let elapsedMs = 0; elapsedMs < this.options.planMs; elapsedMs += LEADERSHIP_INTERVAL_MS) {
        await this.leadership.refresh()
        await this.clock.runFor(LEADERSHIP_INTERVAL_MS)
        this.noteLoaded()
      }
      this.placement.runPlans()
    }
  }

  /** Has a daemon report a need, and drop it again after a while: its request was refused. */
  announceNeed (need: Omit<ModelNeed, 'service' | 'waiting'>, forMs: number): void {
    const daemon = `need-${need.model}-${need.adapter ?? ''}`
    this.demand.putNeeds(daemon, [{ ...need, service: SERVICE, waiting: 1 }])
    this.clock.waitFor(forMs).then(() => this.demand.putNeeds(daemon, []))
  }

  /** Has requests for a missing model come again and again until it is loaded; each is refused after a while. */
  requestModel (model: string, everyMs: number, forMs: number, firstAfterMs = 0): void {
    const request = async (): Promise<void> => {
      await this.clock.waitFor(firstAfterMs)
      while (!this.isLoaded(model)) {
        this.announceNeed({ model, adapter: undefined }, forMs)
        this.demand.addArrivals(model, { requests: 1, promptTokens: 800 })
        await this.clock.waitFor(everyMs)
      }
    }
    request().catch((error: unknown) => this.loadedAtMs.set(String(error), 0))
  }
}
