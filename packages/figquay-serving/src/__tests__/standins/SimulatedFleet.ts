/** Daemons of one fleet in one process, on virtual time, with a store and links between them that take time for each byte. */
import { JsonLogger, makeFailure, makeSuccess, type CallFailure, type Logger, type Outcome } from 'figquay'
import { FleetStore, makeLogPosition, readEra, readOffset, STORE_SILENCE_MS, type FleetConfiguration, type Holdings, type LogPosition, type NoteResponse, type Route, type Runner, type RunnerChange, type RunnerOrderClient, type RunnerRegistryUpdate, type SharedRecordBatch, type SharedWrite, type WriteResult } from 'figquay-fleet'
import { PROCESSOR_KEY_PREFIX, rankDaemons, ServingDaemon, type ChangeBounds, type RunnerExchangeClient } from '../../index.js'
import { SimulatedClock } from './SimulatedClock.js'
import { SimulatedNetwork } from './SimulatedNetwork.js'

/** Interval at which the runners of a simulated fleet write to the list, in milliseconds. */
const RUNNER_HEARTBEAT_MS = 1_200
const UNAVAILABLE: CallFailure = { sent: 'maybe', reason: 'timeout', message: 'the store did not respond in time' }
const RESET: CallFailure = { sent: 'maybe', reason: 'reset', message: 'the connection was reset' }
const CANCELLED: CallFailure = { sent: 'maybe', reason: 'cancelled', message: 'the read was cancelled' }
/** Timeout of a read beyond its long poll, in milliseconds: that of the daemons' client of the store. */
const STORE_CALL_TIMEOUT_MS = 1_000
const STORE_LATENCY_MS = 4

/** Number of records of each topic at some moment: what a backup of the store holds. */
interface StoreCopy {
  readonly configurations: number
  readonly shared: number
}

type StoreTopicName = 'configurations' | 'shared' | 'runners'

/** First offset of each topic that can still be read. */
type RetainedOffsets = Readonly<Record<StoreTopicName, number>>

type RunnerRecord = { readonly type: 'announced', readonly runner: Runner } | { readonly type: 'removed', readonly id: string }

/** Records of the store, and how fast it responds. */
class StoreState {
  readonly configurations: FleetConfiguration[] = []
  readonly shared: Array<{ readonly key: string, readonly value: string | undefined }> = []
  readonly runners: RunnerRecord[] = []
  readonly waiters = new Set<() => void>()
  latencyMs = STORE_LATENCY_MS
  /** Positions of an older era are invalid: their offsets may have been given out again. */
  era = 1
  isDown = false
  /** While true, new connections are reset. */
  isResetting = false
  /** Number of times that all open connections have been reset. */
  resets = 0
  calls = 0
  /** Number of reads that returned the latest record of each key. */
  snapshotReads = 0
  /** Number of reads that returned a configuration. */
  configurationsSent = 0
  retainedFrom: RetainedOffsets = { configurations: 0, shared: 0, runners: 0 }

  /** Offset from which a read continues after a position. */
  findNextOffset (after: LogPosition): number {
    return readEra(after) === this.era ? readOffset(after) + 1 : 0
  }

  /** Whether the records after a position are no longer retained, so that the latest record of each key is read instead. */
  isGone (topic: StoreTopicName, after: LogPosition): boolean {
    return this.findNextOffset(after) < this.retainedFrom[topic]
  }

  makeEnd (recordCount: number): LogPosition {
    return makeLogPosition(this.era, recordCount)
  }

  wakeReaders (): void {
    for (const wake of [...this.waiters]) wake()
  }
}

/** The store as one daemon reads it: a response takes its latency and the time of its bytes on the daemon's link. */
class SimulatedStore extends FleetStore {
  private isCut = false
  /** While true, reads of the configuration get no answer, on whichever connection; others do. */
  private isConfigurationStalled = false
  /** Number of times that the connections of reads have gone silent. */
  private silences = 0

  constructor (private readonly state: StoreState, private readonly clock: SimulatedClock, private readonly bytesPerMs: number, private readonly isPreviousRelease: boolean) {
    super()
  }

  override async readConfiguration (after: LogPosition, waitMs: number, signal: AbortSignal, noteResponse?: NoteResponse): Promise<Outcome<{ readonly configuration: FleetConfiguration | undefined, readonly position: LogPosition }, CallFailure>> {
    const { state } = this
    const hasNew = (): boolean => state.isGone('configurations', after) || state.configurations.length > state.findNextOffset(after)
    const readNewest = () => ({ configuration: hasNew() ? state.configurations.at(-1) : undefined, position: state.makeEnd(state.configurations.length) - 1 })
    return await this.read('configurations', after, waitMs, signal, hasNew, readNewest, ({ configuration }) => configuration === undefined ? 0 : this.countBytes(configuration), noteResponse)
  }

  private countBytes (configuration: FleetConfiguration): number {
    this.state.configurationsSent += 1
    return JSON.stringify(configuration).length
  }

  override async readRunners (after: LogPosition, waitMs: number, signal: AbortSignal, noteResponse?: NoteResponse): Promise<Outcome<RunnerRegistryUpdate, CallFailure>> {
    const { state } = this
    const isWhole = (): boolean => readEra(after) !== state.era || state.isGone('runners', after)
    const hasNew = (): boolean => isWhole() || state.runners.length > state.findNextOffset(after)
    const readNew = (): RunnerRegistryUpdate => {
      const from = state.findNextOffset(after)
      const changes = state.runners.slice(from).map((record, index): RunnerChange => ({ ...record, position: makeLogPosition(state.era, from + index) }))
      const latest = new Map(changes.map((change) => [change.type === 'announced' ? change.runner.id : change.id, change]))
      return { changes: isWhole() ? [...latest.values()].filter(({ type }) => type === 'announced') : changes, isComplete: isWhole(), position: state.makeEnd(state.runners.length) - 1 }
    }
    return await this.read('runners', after, waitMs, signal, hasNew, readNew, () => 0, noteResponse)
  }

  override async readShared (after: LogPosition, waitMs: number, signal: AbortSignal, noteResponse?: NoteResponse): Promise<Outcome<SharedRecordBatch, CallFailure>> {
    const { state } = this
    const readNew = (): SharedRecordBatch => {
      const from = state.findNextOffset(after)
      const records = state.shared.slice(from).map((record, index) => ({ ...record, position: makeLogPosition(state.era, from + index) }))
      return { records: records.filter(({ key }) => !this.isPreviousRelease || !key.startsWith(PROCESSOR_KEY_PREFIX)), isComplete: from === 0 || state.isGone('shared', after), end: state.makeEnd(state.shared.length) }
    }
    return await this.read('shared', after, waitMs, signal, () => state.isGone('shared', after) || state.shared.length > state.findNextOffset(after), readNew, ({ records }) => JSON.stringify(records).length, noteResponse)
  }

  override async writeShared (key: string, value: string, expectedEnd: LogPosition | undefined): Promise<Outcome<WriteResult, CallFailure>> {
    this.state.calls += 1
    await this.clock.waitFor(this.state.latencyMs)
    if (this.state.isResetting) return makeFailure(RESET)
    if (this.state.isDown || this.isCut) return makeFailure(UNAVAILABLE)
    const position = this.state.makeEnd(this.state.shared.length)
    if (expectedEnd !== undefined && expectedEnd !== position) return makeSuccess({ type: 'overtaken' })
    this.state.shared.push({ key, value })
    this.state.wakeReaders()
    return makeSuccess({ type: 'written', position })
  }

  override async writeRecords (records: readonly SharedWrite[]): Promise<Outcome<void, CallFailure>> {
    this.state.calls += 1
    await this.clock.waitFor(this.state.latencyMs)
    if (this.state.isResetting) return makeFailure(RESET)
    if (this.state.isDown || this.isCut) return makeFailure(UNAVAILABLE)
    this.state.shared.push(...records)
    this.state.wakeReaders()
    return makeSuccess(undefined)
  }

  override renewConnections (): void {}

  override close (): void {}

  /** Cuts the daemon off: its calls get no answer, those in progress included. */
  cut (): void {
    this.isCut = true
    this.silenceReads()
  }

  /** Ends the cut; reads from before stay without an answer. */
  heal (): void {
    this.isCut = false
  }

  /** From now on, reads of the configuration get no answer; those in progress don't either. */
  stallConfiguration (): void {
    this.isConfigurationStalled = true
  }

  /** The connections of the reads that wait go silent; new ones work. */
  silenceReads (): void {
    this.silences += 1
    this.state.wakeReaders()
  }

  /** As the daemons' client of the store does, repeats a read on a new connection when the open one gives no sign of an answer. */
  private async read<T> (topic: StoreTopicName, after: LogPosition, waitMs: number, signal: AbortSignal, hasNew: () => boolean, take: () => T, countBytes: (result: T) => number, noteResponse: NoteResponse = () => {}): Promise<Outcome<T, CallFailure>> {
    const { state, clock } = this
    state.calls += 1
    const { silences } = this
    const startedAtMs = clock.readMonotonicMs()
    const isCut = (): boolean => this.isCut || (this.isConfigurationStalled && topic === 'configurations')
    const isSilent = (): boolean => this.silences !== silences || isCut()
    if (!isCut() && state.isGone(topic, after)) {
      state.snapshotReads += 1
      // The answer that the offset is gone, before the read of the latest records.
      if (after >= 0) {
        state.calls += 1
        const gone = await this.readOnce(0, signal, () => true, () => undefined, () => 0, isSilent, noteResponse)
        if (gone !== undefined && !gone.ok) return gone
      }
    }
    const first = isCut() ? undefined : await this.readOnce(waitMs, signal, hasNew, take, countBytes, isSilent, noteResponse)
    if (first !== undefined) return first
    await clock.waitFor(startedAtMs + waitMs + STORE_SILENCE_MS - clock.readMonotonicMs(), signal)
    if (signal.aborted) return makeFailure(CANCELLED)
    state.calls += 1
    const second = isCut() ? undefined : await this.readOnce(0, signal, hasNew, take, countBytes, isCut, noteResponse)
    if (second !== undefined) return second
    await clock.waitFor(STORE_CALL_TIMEOUT_MS, signal)
    return makeFailure(signal.aborted ? CANCELLED : UNAVAILABLE)
  }

  /** Answer of a store that is down or resets connections. */
  private async refuseCall (signal: AbortSignal): Promise<Outcome<never, CallFailure> | undefined> {
    const { state, clock } = this
    if (!state.isDown && !state.isResetting) return undefined
    const failure = state.isDown ? UNAVAILABLE : RESET
    await clock.waitFor(state.isDown ? state.latencyMs : STORE_LATENCY_MS, signal)
    return makeFailure(signal.aborted ? CANCELLED : failure)
  }

  /** Waits until there is something to read, or the store no longer keeps the connection. */
  private async waitForRecords (untilMs: number, signal: AbortSignal, isDue: () => boolean): Promise<void> {
    const { state, clock } = this
    const { era, resets } = state
    while (!isDue() && state.era === era && state.resets === resets && !state.isDown && clock.readMonotonicMs() < untilMs && !signal.aborted) {
      const end = new AbortController()
      const wake = (): void => end.abort()
      state.waiters.add(wake)
      signal.addEventListener('abort', wake, { once: true })
      await clock.waitFor(untilMs - clock.readMonotonicMs(), end.signal)
      signal.removeEventListener('abort', wake)
      state.waiters.delete(wake)
    }
  }

  /** Waits until there is something to read, then for the time that the response takes; undefined if the connection went silent. */
  private async readOnce<T> (waitMs: number, signal: AbortSignal, hasNew: () => boolean, take: () => T, countBytes: (result: T) => number, isSilent: () => boolean, noteResponse: NoteResponse): Promise<Outcome<T, CallFailure> | undefined> {
    const { state, clock } = this
    const refusal = await this.refuseCall(signal)
    if (refusal !== undefined) return refusal
    const { resets } = state
    const startedAtMs = clock.readMonotonicMs()
    await this.waitForRecords(startedAtMs + waitMs, signal, () => isSilent() || hasNew())
    if (isSilent()) return undefined
    if (state.isDown) return makeFailure(UNAVAILABLE)
    if (state.resets !== resets) return makeFailure(signal.aborted ? CANCELLED : RESET)
    const result = take()
    const leftMs = startedAtMs + waitMs + STORE_CALL_TIMEOUT_MS - clock.readMonotonicMs()
    await clock.waitFor(Math.min(state.latencyMs, leftMs), signal)
    if (state.latencyMs <= leftMs && !isSilent() && !signal.aborted && state.resets === resets) {
      noteResponse()
      await clock.waitFor(countBytes(result) / this.bytesPerMs, signal)
    }
    if (isSilent()) return undefined
    if (signal.aborted) return makeFailure(CANCELLED)
    if (state.resets !== resets) return makeFailure(RESET)
    return state.latencyMs > leftMs ? makeFailure(UNAVAILABLE) : makeSuccess(result)
  }
}

/** Processor and link of a VM. */
export interface SimulatedVm {
  readonly cores: number
  readonly bytesPerMs: number
}

/** Size and speed of a simulated fleet. */
export interface SimulatedFleetOptions {
  readonly zones: readonly string[]
  readonly daemonsPerZone: number
  /** Number of all daemons if the last data centre has fewer than the others. */
  readonly daemonCount?: number
  /** Bandwidth of a daemon's link, in bytes per millisecond. */
  readonly bytesPerMs: number
  /** VMs with a processor and a link of their own; of the others, the processor isn't known. */
  readonly findVm?: (zoneIndex: number, index: number) => SimulatedVm | undefined
  /** Daemons that are of the release before; none by default. */
  readonly isPreviousRelease?: (zoneIndex: number, index: number) => boolean
  /** Bandwidth that a daemon's link has left for responses of the store; all of it by default. */
  readonly storeBytesPerMs?: number
  readonly createLogger?: (address: string) => Logger
  /** Those of the grown sites by default. */
  readonly bounds?: ChangeBounds
}

const MS_PER_SECOND = 1_000
/** Models of a runner, with two adapters each, and on its disk. */
const HELD_MODELS = 4
const STORED_MODELS = 16
/** Delay between daemons on the network, in milliseconds. */
const NETWORK_LATENCY_MS = 1

/** A fleet on virtual time. */
export class SimulatedFleet {
  readonly clock = SimulatedClock.create()
  readonly daemons = new Map<string, ServingDaemon>()
  readonly network: SimulatedNetwork
  private readonly store = new StoreState()
  private readonly removedRunners = new Set<string>()
  private readonly leavingRunners = new Set<string>()
  private isClosed = false
  private readonly storeClients = new Map<string, SimulatedStore>()

  private constructor (private readonly options: SimulatedFleetOptions) {
    this.network = SimulatedNetwork.create(this.clock, { findBytesPerMs: (address) => this.findBytesPerMs(address), latencyMs: NETWORK_LATENCY_MS })
    this.network.setPreviousRelease((address) => this.isPreviousRelease(address))
  }

  private findVm (address: string): SimulatedVm | undefined {
    return this.options.findVm?.(...parseAddress(address))
  }

  private isPreviousRelease (address: string): boolean {
    return this.options.isPreviousRelease?.(...parseAddress(address)) === true
  }

  private findBytesPerMs (address: string): number {
    return this.findVm(address)?.bytesPerMs ?? this.options.bytesPerMs
  }

  /**
   * Starts a fleet with a configuration and runs it until it has settled.
   *
   * @example
   * const fleet = await SimulatedFleet.create({ zones: ['a', 'b'], daemonsPerZone: 10, bytesPerMs: 875 }, makeConfiguration(1, 49))
   */
  static async create (options: SimulatedFleetOptions, configuration: FleetConfiguration): Promise<SimulatedFleet> {
    const fleet = new SimulatedFleet(options)
    fleet.publish(configuration)
    const addresses = options.zones.flatMap((zone, zoneIndex) => Array.from({ length: options.daemonsPerZone }, (_, index) => ({ zone, address: `10.${zoneIndex}.0.${index}:80` }))).slice(0, options.daemonCount)
    const seeds = options.zones.map((_, zoneIndex) => `10.${zoneIndex}.0.0:80`)
    for (const { zone, address } of addresses) await fleet.addDaemon(address, zone, seeds)
    await fleet.clock.runFor(SETTLE_MS)
    return fleet
  }

  /** Writes a configuration to the store, which acknowledges it at once. */
  publish (configuration: FleetConfiguration): void {
    this.store.configurations.push(configuration)
    this.store.wakeReaders()
  }

  /**
   * Adds plain runners, which write to the list until the fleet is closed.
   *
   * @param spreadMs Time over which the writes of one round are spread, in milliseconds.
   */
  addRunners (count: number, spreadMs = RUNNER_HEARTBEAT_MS): void {
    const runners = Array.from({ length: count }, (_, index) => this.makeRunner(`runner-${index}`))
    const writeInTurn = async (): Promise<void> => {
      for (let turn = 0; !this.isClosed; turn += 1) {
        const runner = runners[turn % count]!
        if (!this.removedRunners.has(runner.id)) this.appendRunner({ type: 'announced', runner: { ...runner, isLeaving: this.leavingRunners.has(runner.id) } })
        const isLast = turn % count === count - 1
        await this.clock.waitFor(spreadMs / count + (isLast ? RUNNER_HEARTBEAT_MS - spreadMs : 0))
      }
    }
    writeInTurn().catch((error: unknown) => process.stderr.write(`${String(error)}\n`))
  }

  /**
   * Adds runners whose models change all the time: each change is announced by the leader and written to the list, as for an
   * order that a runner carries out, and is news for every daemon.
   */
  addChangingRunners (count: number, changesPerSecond: number): void {
    const writeInTurn = async (): Promise<void> => {
      for (let turn = 0; !this.isClosed; turn += 1) {
        const runner = { ...this.makeRunner(`changing-${turn % count}`), holdings: makeHoldings(turn) }
        this.appendRunner({ type: 'announced', runner })
        for (const daemon of this.daemons.values()) if (daemon['leadership'].isLeader) daemon['peers'].announceHoldings(runner.id, runner.bornMs, runner.holdings)
        await this.clock.waitFor(MS_PER_SECOND / changesPerSecond)
      }
    }
    writeInTurn().catch((error: unknown) => process.stderr.write(`${String(error)}\n`))
  }

  private makeRunner (id: string): Runner {
    return { id, service: 'ledger', address: `${id}.example:80`, zone: this.options.zones[0]!, slots: 6, isLeaving: false, bornMs: 1, holdings: undefined }
  }

  /** Removes a runner from the list. */
  removeRunner (id: string): void {
    this.removedRunners.add(id)
    this.appendRunner({ type: 'removed', id })
  }

  /** Has a runner announce that it is leaving. */
  announceLeaving (id: string): void {
    this.leavingRunners.add(id)
    this.appendRunner({ type: 'announced', runner: { ...this.makeRunner(id), isLeaving: true } })
  }

  /** Daemons that still send new requests to a runner. */
  listDaemonsUsingRunner (id: string): string[] {
    return [...this.daemons].filter(([, daemon]) => daemon.listCandidates('ledger').includes(id)).map(([address]) => address)
  }

  private appendRunner (record: RunnerRecord): void {
    this.store.runners.push(record)
    this.store.wakeReaders()
  }

  /** Daemons that still list a runner, those that are cut off excluded. */
  listDaemonsWithRunner (id: string, cut: readonly string[]): string[] {
    return [...this.daemons].filter(([address, daemon]) => !cut.includes(address) && daemon.listRunners('ledger').includes(id)).map(([address]) => address)
  }

  /** Cuts daemons off from the store. */
  cutFromStore (addresses: readonly string[]): void {
    for (const address of addresses) this.storeClients.get(address)!.cut()
  }

  /** Ends the cut. */
  healStoreLinks (addresses: readonly string[]): void {
    for (const address of addresses) this.storeClients.get(address)!.heal()
  }

  /** Reads of the configuration by these daemons get no answer from now on; their other reads do. */
  stallConfigurationReads (addresses: readonly string[]): void {
    for (const address of addresses) this.storeClients.get(address)!.stallConfiguration()
  }

  /** The connections on which daemons wait for the store go silent. */
  silenceStoreReads (): void {
    for (const client of this.storeClients.values()) client.silenceReads()
  }

  /** Daemons that read the store for the others now. */
  listStoreReaders (): string[] {
    return [...this.daemons].filter(([, daemon]) => daemon.storeRole !== 'listener').map(([address]) => address)
  }

  /** Number of calls to the store by all daemons. */
  get storeCallCount (): number {
    return this.store.calls
  }

  /** Keys of the records that the daemons share, as the store holds them. */
  listSharedKeys (): ReadonlySet<string> {
    return new Set(this.store.shared.map(({ key }) => key))
  }

  /** Notes what a backup of the store would hold now. */
  takeStoreCopy (): StoreCopy {
    return { configurations: this.store.configurations.length, shared: this.store.shared.length }
  }

  /** Starts an outage of the store, in which pending calls fail. */
  stopStore (): void {
    this.store.isDown = true
    this.store.wakeReaders()
  }

  /** Ends the outage with an older copy, which begins the next era. */
  restoreStore (copy: StoreCopy): void {
    this.store.configurations.length = copy.configurations
    this.store.shared.length = copy.shared
    this.store.era += 1
    this.store.isDown = false
  }

  /** The store keeps only the latest record of each key; positions before its end are gone. */
  dropStoreHistory (): void {
    const { configurations, shared, runners } = this.store
    this.store.retainedFrom = { configurations: configurations.length, shared: shared.length, runners: runners.length }
    this.store.wakeReaders()
  }

  /** The store resets all connections, and new ones until `isResetting` is set to false. */
  setStoreResetting (isResetting: boolean): void {
    this.store.isResetting = isResetting
    if (isResetting) this.store.resets += 1
    this.store.wakeReaders()
  }

  /** Number of reads that returned the latest record of each key although an older position was known. */
  get snapshotReadCount (): number {
    return this.store.snapshotReads
  }

  /** Number of whole configurations that daemons have read from the store. */
  get configurationsSentCount (): number {
    return this.store.configurationsSent
  }

  /** Sets the time that the store takes for a response, in milliseconds. */
  setStoreLatency (latencyMs: number = STORE_LATENCY_MS): void {
    this.store.latencyMs = latencyMs
  }

  /** Active version of each daemon, by address. */
  listVersions (): Map<string, number> {
    return new Map([...this.daemons].map(([address, daemon]) => [address, daemon.configurations.version]))
  }

  /** Daemons, suspended ones excluded, that don't have a version yet. */
  listBehind (version: number): string[] {
    return [...this.listVersions()].filter(([address, active]) => active < version && !this.network.isSuspended(address)).map(([address]) => address)
  }

  /** Suspends a daemon for good; its peers notice by its silence. */
  suspendDaemon (address: string): void {
    this.network.suspendDaemon(address)
  }

  /** The daemon that ranks first in each data centre: the root of its tree. */
  listTopRanked (): string[] {
    const { zones } = this.options
    const cores = new Map([...this.daemons.keys()].flatMap((address): Array<[string, number]> => this.findVm(address) === undefined ? [] : [[address, this.findVm(address)!.cores]]))
    const ranked = rankDaemons(new Map([...this.daemons.keys()].map((address) => [address, zones[Number(address.split('.')[1])]!])), cores)
    return [...ranked.values()].map((addresses) => addresses[0]!)
  }

  /** Bytes that all daemons have sent to each other. */
  countSentBytes (): number {
    return [...this.daemons.keys()].reduce((sum, address) => sum + this.network.countSentBytes(address), 0)
  }

  /** Bytes that daemons have sent to those of other data centres. */
  countCrossZoneBytes (): number {
    return this.network.countBytes((from, to) => from.split('.')[1] !== to.split('.')[1])
  }

  /** Stops all daemons. */
  async close (): Promise<void> {
    this.isClosed = true
    const stopped = Promise.all([...this.daemons.values()].map((daemon) => daemon.stop()))
    await this.clock.runFor(SETTLE_MS)
    await stopped
  }

  private async addDaemon (address: string, zone: string, seeds: readonly string[]): Promise<void> {
    const { clock, network } = this
    const storeClient = new SimulatedStore(this.store, clock, this.options.storeBytesPerMs ?? this.findBytesPerMs(address), this.isPreviousRelease(address))
    this.storeClients.set(address, storeClient)
    const daemon = ServingDaemon.create({
      address,
      zone,
      bootId: `boot-${address}`,
      seeds,
      peerSecrets: ['a-secret-of-these-tests'],
      retries: { perRequest: 0.1, burst: 10 },
      quotas: { windowMs: 8_000, fraction: 0.1, slack: 0 },
      processorCores: this.isPreviousRelease(address) ? undefined : this.findVm(address)?.cores,
      heartbeatMs: RUNNER_HEARTBEAT_MS,
      bounds: this.options.bounds ?? { drainWithinMs: 3_000, applyWithinMs: 3_000 },
      clock,
      logger: this.options.createLogger?.(address) ?? JsonLogger.create(address, 'silent'),
      store: storeClient,
      orderClient: {} as RunnerOrderClient,
      exchanges: {} as RunnerExchangeClient,
      createMesh: (options) => network.createMesh(options)
    })
    this.daemons.set(address, daemon)
    await daemon.start()
  }
}

/** Time in which a fleet that starts or stops comes to rest, in milliseconds. */
const SETTLE_MS = 6_000

/** Data centre and number of a daemon by its address. */
function parseAddress (address: string): [zoneIndex: number, index: number] {
  const [, zoneIndex, , index] = address.split(':')[0]!.split('.').map(Number) as [number, number, number, number]
  return [zoneIndex, index]
}

/** Makes the holdings of a runner, which differ from one turn to the next. */
function makeHoldings (turn: number): Holdings {
  const onDisk = Array.from({ length: STORED_MODELS }, (_, index) => `mo${makeName(turn + index)}`)
  return { models: onDisk.slice(0, HELD_MODELS).map((name) => ({ name, adapters: ['a1', 'a2'] })), coming: [], isBusy: false, inMemory: onDisk.slice(0, HELD_MODELS), onDisk }
}

/** Makes a configuration with routes of random-looking names, as operators generate them. */
export function makeConfiguration (version: number, routeCount: number): FleetConfiguration {
  const routes = Array.from({ length: routeCount }, (_, index): Route => ({
    name: `r-${makeName(index)}`, host: `site-${index % 30}.example`, pathPrefix: `/${makeName(index + 7)}/`, repeat: 'idempotent', isStream: false, isResumable: false, timeoutMs: 1_041, objectiveMs: 147, patienceMs: 1_041, maxPauseMs: 0, isPublic: false, priority: 1, targets: [{ service: 'ledger', weight: 1 }], maxAttempts: 2
  }))
  return { version, routes, services: new Map([['ledger', { name: 'ledger', healthPath: '/health', maxConnections: 100, engine: undefined }]]), customers: undefined, limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 } }
}

/** Spreads consecutive numbers over unlike names, which compress as little as generated names do. */
function makeName (index: number): string {
  return (Math.imul(index + 1, 0x9e3779b1) >>> 0).toString(36).padStart(7, '0')
}
