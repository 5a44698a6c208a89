/** A router with three runners whose exchanges follow scripts, for tests without a network. */
import { JsonLogger, SystemClock, type Clock } from 'figquay'
import { ConfigurationHolder, type Customer, FleetDemand, FleetRunnerTable, PromptCacheIndex, type Fact, type FleetConfiguration, type ModelSpec, type Route, type Runner } from 'figquay-fleet'
import { RetryBudget } from 'figquay-routing'
import { AccessGate, AttemptTracker, FleetQuotas, CrashHistory, RequestLimiter, RunnerContact, type RequestForwarder, type ForwardingResult, RunnerExchangeClient, ServingDispatcher, ServingRouter, ServingTelemetry, type ExchangeEvent, type ExchangeFailure, type ExchangeOptions, type LivenessProbeResult, type ServedRequest, type StreamOrigin } from '../../index.js'
import { RecordingSink } from './RecordingSink.js'

export const ROUTE: Route = {
  name: 'r', host: 'h', pathPrefix: '/', repeat: 'at-most-once', isStream: false, isResumable: false, timeoutMs: 300, objectiveMs: 100, patienceMs: 2_000, maxPauseMs: 0, isPublic: false, priority: 0, targets: [], maxAttempts: 1
}
export const IDEMPOTENT: Partial<Route> = { repeat: 'idempotent', maxAttempts: 2 }
export const RESUMABLE: Partial<Route> = { repeat: 'idempotent', isStream: true, isResumable: true, maxAttempts: 2 }

export type Script = (runner: string, options: ExchangeOptions, signal: AbortSignal) => AsyncGenerator<ExchangeEvent, void, void>

export class ScriptedExchanges extends RunnerExchangeClient {
  readonly sent: string[] = []
  /** Customer and priority of each attempt. */
  readonly callers: unknown[] = []
  /** Runners whose processes have ended, so that probes of them are refused. */
  readonly deadRunners = new Set<string>()
  constructor (private readonly scripts: Script[]) {
    super()
  }

  override runExchange (runner: Runner, request: ServedRequest, options: ExchangeOptions, signal: AbortSignal): AsyncGenerator<ExchangeEvent, void, void> {
    this.sent.push(options.resumeAfterEventId === undefined ? runner.id : `${runner.id} after ${options.resumeAfterEventId}`)
    this.callers.push([options.areKeysNeeded, request.customer?.name, options.priority])
    return this.scripts.shift()!(runner.id, options, signal)
  }

  override hasReusableConnection (): boolean {
    return false
  }

  override async probeLiveness (runner: Runner): Promise<LivenessProbeResult> {
    return this.deadRunners.has(runner.id) ? 'refused' : 'same'
  }
}

export const HEAD: Extract<ExchangeEvent, { type: 'head' }> = { type: 'head', status: 200, isEventStream: true, head: [], load: undefined }
export const JSON_HEAD: Extract<ExchangeEvent, { type: 'head' }> = { type: 'head', status: 200, isEventStream: false, head: [], load: undefined }
export const ERROR_HEAD: Extract<ExchangeEvent, { type: 'head' }> = { type: 'head', status: 500, isEventStream: false, head: [], load: undefined }
export const END: ExchangeEvent = { type: 'end' }
export const LEAVING: ExchangeEvent = { type: 'notice', notice: { isLeaving: true, refusesForMs: undefined, requestsPerSecond: undefined } }

export function makeData (text: string, eventId?: string, hasUnnumberedEnd = false): ExchangeEvent {
  return { type: 'data', bytes: Buffer.from(text), firstEventId: eventId, lastEventId: eventId, hasUnnumberedEnd }
}

export function makeFailure (reason: ExchangeFailure['reason'], execution: ExchangeFailure['execution']): ExchangeEvent {
  return { type: 'failed', failure: { reason, execution, message: 'test' } }
}

export function makeScript (...events: readonly ExchangeEvent[]): Script {
  return async function * () {
    yield * events
  }
}

/** A runner that never responds. */
export const neverRespond: Script = async function * (_runner, _options, signal) {
  await new Promise<void>((resolve) => signal.addEventListener('abort', () => resolve(), { once: true }))
}

const MODEL: ModelSpec = { name: 'm', weightsMb: 1, storeLoadMs: 50, diskLoadMs: 50, memoryLoadMs: 50, adapterCount: 0, adapterMb: 0 }
export const CONFIGURATION: FleetConfiguration = {
  version: 1,
  routes: [],
  services: new Map([['s', { name: 's', healthPath: '/h', maxConnections: 1, engine: { slots: 8, kvTokens: 1, weightsMb: 1, adapterSlots: 0, loadsPerSecond: 1, models: new Map([['m', MODEL]]) } }]]),
  customers: undefined,
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
}

export const KEY = 'digest'
export const CUSTOMER: Customer = { name: 'desk', keyDigests: [KEY], priority: undefined, quota: undefined }
export const CUSTOMERS = new Map([['desk', CUSTOMER]])

function makeCaller (customers: FleetConfiguration['customers']): Pick<ServedRequest, 'customer' | 'keyDigest'> {
  return customers === undefined ? { customer: undefined, keyDigest: undefined } : { customer: customers.get('desk'), keyDigest: KEY }
}

export interface ServeOptions {
  readonly burst?: number
  /** Software versions of the three runners. */
  readonly versions?: readonly string[]
  /** Prompt part that has crashed runners; the request has it, too. */
  readonly deadlyPart?: string
  /** Position of the caller in a stream that it resumes. */
  readonly resumeAfterEventId?: string
  /** What is known of the version that began the stream. */
  readonly origin?: StreamOrigin
  /** Requested model; it is loaded on no runner. */
  readonly model?: string
  readonly deadlineMs?: number
  /** Makes the caller; by default one that reads everything at once. */
  readonly makeSink?: () => RecordingSink
  /** Number of times that the request is served, one after the other. */
  readonly calls?: number
  /** Called when prompt parts are known to have been answered. */
  readonly noteSuccessfulParts?: () => void
  /** Receives the attempt tracker, which outlives the request. */
  readonly noteTracker?: (tracker: AttemptTracker) => void
  /** Receives the table of the runners before the request arrives. */
  readonly noteTable?: (table: FleetRunnerTable) => void
  /** Results of forwarding, in turn; this daemon then reaches no runner. */
  readonly forwardings?: ForwardingResult[]
  /** Attempts of the daemon that has forwarded the request; undefined if it came from its caller. */
  readonly forwardedRuns?: number
  /** Customers in force as the request arrives with the key `KEY`; by default callers need none. */
  readonly customers?: FleetConfiguration['customers']
  /** Called while the request is being served. */
  readonly whileServing?: (router: ServingRouter, dispatcher: ServingDispatcher, configurations: ConfigurationHolder) => void
}

/** Without results of forwarding, the daemon reaches runners. */
async function makeForwarding (results: ForwardingResult[] | undefined, clock: Clock, table: FleetRunnerTable): Promise<{ readonly contact: RunnerContact, readonly forwarder: RequestForwarder | undefined }> {
  const contact = RunnerContact.create({ clock, listRunners: () => table.listCandidates('s').map(({ runner }) => runner), probeLiveness: async () => results === undefined ? 'same' : 'refused', recordChange: () => {} })
  if (results === undefined) return { contact, forwarder: undefined }
  await contact.confirmContact()
  return { contact, forwarder: { forwardRequest: async () => results.shift()! } as unknown as RequestForwarder }
}

/** Quotas at a daemon that has been the leader for a minute. */
function makeQuotas (clock: Clock, configurations: ConfigurationHolder, telemetry: ServingTelemetry): FleetQuotas {
  let elapsedMs = 0
  const shiftedClock: Clock = { now: () => clock.now(), readMonotonicMs: () => clock.readMonotonicMs() + elapsedMs, waitFor: (ms, signal) => clock.waitFor(ms, signal) }
  const leadership = { leader: { daemon: 'a', fence: 1 }, isLeader: true, fencingToken: 1 }
  const quotas = FleetQuotas.create({ self: 'a', bootId: 'b', clock: shiftedClock, logger: JsonLogger.create('test', 'silent'), configurations, leadership, tolerance: { windowMs: 8_000, fraction: 0, slack: 0 }, callPeer: async () => ({ ok: false, error: 'timeout' }), listDaemons: () => new Set(['a']), telemetry })
  quotas.handleTake({ from: 'a', bootId: 'before', serial: 1, uses: [] })
  elapsedMs = 60_000
  return quotas
}

const DEFAULT_CALLBACKS = { noteTracker: () => {}, noteTable: () => {}, noteSuccessfulParts: () => {}, makeSink: () => new RecordingSink() }

export async function serve (scripts: Script[], changes: Partial<Route> = {}, { burst = 10, model, versions = [], deadlyPart, resumeAfterEventId, origin = { type: 'known', softwareVersion: '', source: 'single', ageMs: undefined }, deadlineMs = 300, calls = 1, customers, whileServing, forwardings, forwardedRuns, ...callbacks }: ServeOptions = {}): Promise<{ readonly sink: RecordingSink, readonly answers: readonly RecordingSink[], readonly sent: readonly string[], readonly callers: readonly unknown[], readonly leaving: readonly string[], readonly backoffs: readonly string[], readonly begun: ReadonlyArray<string | undefined>, readonly result: string, readonly tookMs: number, readonly table: FleetRunnerTable, readonly telemetry: ServingTelemetry, readonly lines: readonly string[] }> {
  const clock = SystemClock.create()
  const { noteTracker, noteTable, noteSuccessfulParts, makeSink } = { ...DEFAULT_CALLBACKS, ...callbacks }
  const leaving: string[] = []
  const backoffs: string[] = []
  const begun: Array<string | undefined> = []
  const table = FleetRunnerTable.create(clock)
  for (const [index, id] of ['r1', 'r2', 'r3'].entries()) {
    table.putRunner({ id, service: 's', softwareVersion: versions[index], address: '127.0.0.1:1', zone: 'z', slots: 8, isLeaving: false, bornMs: 0, holdings: model === undefined ? undefined : { models: [], coming: [], isBusy: false, inMemory: [], onDisk: [] } }, 0)
  }
  noteTable(table)
  const configurations = ConfigurationHolder.create()
  configurations.adoptConfiguration({ ...CONFIGURATION, customers })
  const memory = PromptCacheIndex.create(clock)
  const exchanges = new ScriptedExchanges(scripts)
  const requestLimiter = RequestLimiter.create({ self: 'a', clock, findLeader: () => 'a', callPeer: async () => ({ ok: false, error: 'timeout' }), notifyPeer: () => {} })
  const dispatcher = ServingDispatcher.create({ clock, zone: 'z', configurations, table, memory, exchanges, isAvoided: (runner) => requestLimiter.isAvoided(runner), countDaemons: () => 1, announceNeeds: () => {} })
  const crashHistory = CrashHistory.create(() => true, () => false)
  const addFact = (fact: Fact): void => crashHistory.addFact(fact)
  if (deadlyPart !== undefined) for (let crash = 0; crash < 4; crash += 1) addFact({ type: 'crash', id: `${crash}`, runner: `x${crash}`, bornMs: 1, suspects: [`part/${deadlyPart}`], isolated: [], bystanders: [], atMs: crash })
  const attemptTracker = AttemptTracker.create({
    clock, table, exchanges, confirmContact: async () => true, hasPartSucceeded: () => false, recordProbe: () => {}, reportPossibleCrash: () => {}, reportCrash: (runner, crash) => addFact({ type: 'crash', id: `crash-${runner.id}`, runner: runner.id, bornMs: runner.bornMs, atMs: clock.now().getTime(), ...crash })
  })
  noteTracker(attemptTracker)
  const lines: string[] = []
  const telemetry = ServingTelemetry.create(clock, JsonLogger.create('test', 'info', { write: (line: string) => lines.push(line) > 0 } as unknown as NodeJS.WritableStream))
  const budget = RetryBudget.create({ perRequest: 0, maxBalance: burst, initialBalance: burst })
  const { contact, forwarder } = await makeForwarding(forwardings, clock, table)
  const router = ServingRouter.create({
    clock,
    configurations,
    accessGate: AccessGate.create({ clock, configurations, isNewest: () => true, telemetry }),
    table,
    memory,
    exchanges,
    contact,
    staleness: { refresh: () => false, waitUntilCurrent: async () => {} },
    forwarder,
    demand: FleetDemand.create(clock),
    dispatcher,
    findRetryBudget: () => budget,
    attemptTracker,
    crashHistory,
    publishAcquittal: (fingerprint) => addFact({ type: 'acquittal', id: `acquittal-${fingerprint}`, fingerprint, atMs: clock.now().getTime() }),
    noteSuccessfulParts,
    acquirePermit: async () => 'granted',
    releasePermit: () => {},
    requestLimiter,
    quotas: makeQuotas(clock, configurations, telemetry),
    noteAdapterUse: () => {},
    streamOrigins: { findOrigin: async () => origin, noteBegin: (_request, { softwareVersion }) => begun.push(softwareVersion) },
    announceLeaving: (runner) => leaving.push(runner),
    announceBackoff: (runner) => backoffs.push(runner),
    telemetry
  })
  const arrivedAtMs = clock.readMonotonicMs()
  const request: ServedRequest = {
    id: 'a', route: { ...ROUTE, ...changes }, service: 's', model, adapter: undefined, ...makeCaller(customers), priority: 0, promptTokens: 0, maxOutputTokens: 0, parts: deadlyPart === undefined ? [] : [{ id: deadlyPart, tokens: 1 }, { id: 'own', tokens: 1 }], resumeAfterEventId, fingerprint: 'f', arrivedAtMs, deadlineAtMs: arrivedAtMs + deadlineMs, ...forwardedRuns === undefined ? {} : { forwardedRuns }, payload: undefined
  }
  const answers: RecordingSink[] = []
  let result = ''
  for (let call = 0; call < calls; call += 1) {
    const sink = makeSink()
    answers.push(sink)
    const serving = router.serveRequest(request, sink, new AbortController().signal)
    if (whileServing !== undefined) await clock.waitFor(100).then(() => whileServing(router, dispatcher, configurations))
    result = await serving
  }
  return { sink: answers.at(-1)!, answers, sent: exchanges.sent, callers: exchanges.callers, leaving, backoffs, begun, result, tookMs: clock.readMonotonicMs() - arrivedAtMs, table, telemetry, lines }
}
