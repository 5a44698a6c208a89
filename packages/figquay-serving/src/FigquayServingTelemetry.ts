/** Request metrics, and a rate-limited log line for each decision that departs from the normal path. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { ClientErrorOutcome, Clock, LogFields, Logger } from 'figquay'
import { classifySpeed, isInSpell, type RunnerStatus } from './FigquayServingRunnerStatus.js'
import { STORE_TOPICS, type ServedRequest, type ServedResult, type StoreTopic } from './FigquayServingTypes.js'

/** Log lines on decisions per second; suppressed lines are counted, and the next line reports their number. */
const MAX_DECISION_LINES_PER_SECOND = 50
const MS_PER_SECOND = 1_000
/** Upper bounds of the latency histogram, in seconds, around the objectives of interactive and batch work. */
const LATENCY_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 4, 8, 15]

/** A delay of the event loop is logged from here on, in milliseconds: the time limits of daemons allow for shorter ones. */
const LOGGED_EVENT_LOOP_DELAY_MS = 300
/** Upper bounds of the histogram of these delays, in seconds. */
const EVENT_LOOP_DELAY_BUCKETS = [0.01, 0.05, 0.1, 0.3, 0.6, 1, 2, 4]

/** Customers with a label of their own. */
const MAX_LABELLED_CUSTOMERS = 200

/** What a log line says of a request. */
export type LoggedRequest = Pick<ServedRequest, 'id' | 'route' | 'model' | 'adapter' | 'arrivedAtMs'>

/** The same of a request that may have no route. */
export type LoggedArrival = Pick<LoggedRequest, 'id' | 'arrivedAtMs'> & Partial<LoggedRequest>

/** How old what a daemon decides by is, in milliseconds; infinite if unknown. */
export interface StateAges {
  /** Time since the store was last read, as far as this daemon has what was read. */
  readonly storeAgeMs: number
  /** Upper bound on the time for which what is read now may have waited in its socket. */
  readonly inputAgeMs: number
}

/** Upper bounds of the histogram of pauses, relative to the longest allowed one. */
const PAUSE_BUCKETS = [0.1, 0.25, 0.5, 0.75, 1, 1.5, 2, 4]

/** Logs and metrics of requests and runner probes. */
export class ServingTelemetry {
  readonly registry = new Registry()
  private readonly results: Counter<'route' | 'result'>
  private readonly attempts: Counter<'service' | 'outcome'>
  private readonly firstByteSeconds: Histogram<'route'>
  private readonly accessRefusals: Counter<'route' | 'reason'>
  private readonly quotaRequests: Counter<'customer' | 'outcome'>
  private readonly quotaCosts: Counter<'customer' | 'outcome'>
  private readonly pauses: Histogram<'route'>
  private readonly quarantined: Counter<'route'>
  private readonly resumptions: Counter<'route' | 'origin'>
  private readonly forwardings: Counter<'route' | 'outcome'>
  private readonly storeReads: Counter<'topic' | 'outcome'>
  private readonly placementLoads: Counter<'service' | 'kind' | 'reason'>
  private readonly clientErrors: Counter<'listener' | 'code' | 'outcome'>
  private readonly eventLoopDelays: Histogram
  private readStateAges: (() => StateAges) | undefined
  private readonly labelledCustomers = new Set<string>()
  private windowStartMs = 0
  private linesInWindow = 0
  private suppressed = 0

  private constructor (private readonly clock: Clock, private readonly logger: Logger) {
    const registers = [this.registry]
    this.results = new Counter({ name: 'figquay_requests_total', help: 'Requests by route and result', labelNames: ['route', 'result'], registers })
    this.attempts = new Counter({ name: 'figquay_attempts_total', help: 'Exchanges with runners by service and outcome', labelNames: ['service', 'outcome'], registers })
    this.quarantined = new Counter({ name: 'figquay_quarantined_total', help: 'Requests refused because they have crashed runners, by route', labelNames: ['route'], registers })
    this.accessRefusals = new Counter({ name: 'figquay_access_refusals_total', help: 'Requests refused for their keys, by route and reason', labelNames: ['route', 'reason'], registers })
    this.quotaRequests = new Counter({ name: 'figquay_quota_requests_total', help: 'Requests of customers with a quota, by customer and by what they were counted against, or why they were refused', labelNames: ['customer', 'outcome'], registers })
    this.quotaCosts = new Counter({ name: 'figquay_quota_cost_total', help: 'The same in the unit of the quota, tokens or requests', labelNames: ['customer', 'outcome'], registers })
    this.resumptions = new Counter({ name: 'figquay_stream_resumptions_total', help: 'Streams that callers resume, by route and by where the version that began them was learned, or why it is unknown', labelNames: ['route', 'origin'], registers })
    this.forwardings = new Counter({ name: 'figquay_forwarded_requests_total', help: 'Requests forwarded to other daemons, as no runner could be reached from here, by route and outcome', labelNames: ['route', 'outcome'], registers })
    this.storeReads = new Counter({ name: 'figquay_store_reads_total', help: 'Reads of the platform\'s store by topic and outcome', labelNames: ['topic', 'outcome'], registers })
    this.placementLoads = new Counter({ name: 'figquay_placement_loads_total', help: 'Loads of models and adapters that this daemon planned as the leader, by service and reason', labelNames: ['service', 'kind', 'reason'], registers })
    this.clientErrors = new Counter({ name: 'figquay_client_errors_total', help: 'Malformed or timed-out requests and idle connections by listener, by code of the error, and by what became of them', labelNames: ['listener', 'code', 'outcome'], registers })
    this.firstByteSeconds = new Histogram({ name: 'figquay_first_byte_seconds', help: 'Time to the first byte of the answer', labelNames: ['route'], buckets: LATENCY_BUCKETS, registers })
    this.eventLoopDelays = new Histogram({ name: 'figquay_event_loop_delay_seconds', help: 'Time by which periodic work of this process was overdue', buckets: EVENT_LOOP_DELAY_BUCKETS, registers })
    this.pauses = new Histogram({ name: 'figquay_stream_pause_ratio', help: 'Pauses between events of a stream, relative to the longest one for which the answer is on time', labelNames: ['route'], buckets: PAUSE_BUCKETS, registers })
  }

  /**
   * @example
   * const telemetry = ServingTelemetry.create(clock, logger)
   */
  static create (clock: Clock, logger: Logger): ServingTelemetry {
    return new ServingTelemetry(clock, logger)
  }

  /** Counts a request that was forwarded to another daemon. */
  noteForwarding (request: LoggedRequest, outcome: string): void {
    this.forwardings.inc({ route: request.route.name, outcome })
  }

  /** Counts an exchange with a runner by its outcome. */
  noteAttempt (service: string, outcome: string): void {
    this.attempts.inc({ service, outcome })
  }

  /** Records the time to first byte, which is now. */
  noteFirstByte (request: ServedRequest): void {
    this.firstByteSeconds.observe({ route: request.route.name }, (this.clock.readMonotonicMs() - request.arrivedAtMs) / MS_PER_SECOND)
  }

  /** Records a pause between two events of a stream. */
  notePause ({ route }: ServedRequest, pauseMs: number): void {
    this.pauses.observe({ route: route.name }, pauseMs / route.maxPauseMs)
  }

  /** Counts a finished request by its result. */
  noteResult (request: ServedRequest, result: ServedResult): void {
    this.results.inc({ route: request.route.name, result })
  }

  /** Counts a stream that its caller resumes, by where its origin was learned or why it is unknown. */
  noteResumption (request: ServedRequest, origin: string): void {
    this.resumptions.inc({ route: request.route.name, origin })
  }

  /**
   * Counts an error on a connection by what became of it.
   *
   * @example
   * telemetry.noteClientError('callers', 'ERR_HTTP_REQUEST_TIMEOUT', 'request-read')
   */
  noteClientError (listener: 'callers' | 'forwarding', code: string, outcome: ClientErrorOutcome): void {
    this.clientErrors.inc({ listener, code, outcome })
  }

  /** Counts a read of a topic of the store by its outcome. */
  noteStoreRead (topic: StoreTopic, outcome: 'ok' | 'failed'): void {
    this.storeReads.inc({ topic, outcome })
  }

  /** Counts a load of a model or an adapter that this daemon has planned as the leader. */
  notePlacementLoad (service: string, kind: 'model' | 'adapter', reason: string): void {
    this.placementLoads.inc({ service, kind, reason })
  }

  /**
   * Keeps a gauge of the models that requests wait for and this daemon, as the leader, can't load now.
   *
   * @param countUnplaced Models by reason.
   * @example
   * telemetry.observeUnplacedModels(() => placement.countUnplaced())
   */
  observeUnplacedModels (countUnplaced: () => ReadonlyMap<string, number>): void {
    const gauge: Gauge<'reason'> = new Gauge({
      name: 'figquay_models_unplaced',
      help: 'Models that requests wait for and the last plan of this daemon did not load, by reason',
      labelNames: ['reason'],
      registers: [this.registry],
      collect: () => {
        gauge.reset()
        for (const [reason, count] of countUnplaced()) gauge.set({ reason }, count)
      }
    })
  }

  /**
   * Adds the ages of what this daemon decides by to the lines on its decisions.
   *
   * @example
   * telemetry.observeStateAges(() => ({ storeAgeMs: peers.storeAgeMs, inputAgeMs: monitor.inputAgeMs }))
   */
  observeStateAges (readStateAges: () => StateAges): void {
    this.readStateAges = readStateAges
  }

  /**
   * Keeps a gauge of how long ago this daemon last read each topic of the store itself.
   *
   * @param measureAge Time since the last read of a topic, in milliseconds; infinite if there was none.
   * @example
   * telemetry.observeStoreAges((topic) => watcher.measureTopicAge(topic))
   */
  observeStoreAges (measureAge: (topic: StoreTopic) => number): void {
    const gauge: Gauge<'topic'> = new Gauge({
      name: 'figquay_store_topic_age_seconds',
      help: 'Time since this daemon last read a topic of the platform\'s store itself',
      labelNames: ['topic'],
      registers: [this.registry],
      collect: () => {
        for (const topic of STORE_TOPICS) gauge.set({ topic }, measureAge(topic) / MS_PER_SECOND)
      }
    })
  }

  /** Counts a request that was refused for its key, or for the lack of one. */
  noteAccessRefusal (request: LoggedRequest, reason: string): void {
    this.accessRefusals.inc({ route: request.route.name, reason })
  }

  /**
   * Counts a request of a customer with a quota.
   *
   * @param outcome `lease`: counted against what the leader has handed out; `share`: against this daemon's share while it reaches
   * no leader; `unlimited`: the leader keeps no quotas; `refused`: beyond the quota; `unconfirmed`: no leader could be asked.
   * @example
   * telemetry.noteQuota('desk', 'lease', 1_200)
   */
  noteQuota (customer: string, outcome: 'lease' | 'share' | 'unlimited' | 'refused' | 'unconfirmed', cost: number): void {
    const labels = { customer: this.chooseCustomerLabel(customer), outcome }
    this.quotaRequests.inc(labels)
    this.quotaCosts.inc(labels, cost)
  }

  /** Customers beyond the first ones share a label. */
  private chooseCustomerLabel (customer: string): string {
    if (this.labelledCustomers.size < MAX_LABELLED_CUSTOMERS) this.labelledCustomers.add(customer)
    return this.labelledCustomers.has(customer) ? customer : 'other'
  }

  /**
   * Keeps gauges of what this daemon holds of each quota.
   *
   * @example
   * telemetry.observeQuotas(() => quotas.listStatus())
   */
  observeQuotas (listStatus: () => ReadonlyArray<{ readonly customer: string, readonly held: number, readonly share: number }>): void {
    const registers = [this.registry]
    const shares: Gauge<'customer'> = new Gauge({ name: 'figquay_quota_share', help: 'Fraction of the quota that this daemon may use while it reaches no leader, by customer', labelNames: ['customer'], registers })
    const held: Gauge<'customer'> = new Gauge({
      name: 'figquay_quota_held',
      help: 'Tokens or requests that this daemon holds and has not used, by customer',
      labelNames: ['customer'],
      registers,
      collect: () => {
        held.reset()
        shares.reset()
        for (const status of listStatus().slice(0, MAX_LABELLED_CUSTOMERS)) {
          held.set({ customer: status.customer }, status.held)
          shares.set({ customer: status.customer }, status.share)
        }
      }
    })
  }

  /**
   * Keeps a gauge of the bytes that are buffered for callers who read slowly.
   *
   * @example
   * telemetry.observeBufferedBytes(() => budget.totalBytes)
   */
  observeBufferedBytes (countBytes: () => number): void {
    const gauge: Gauge = new Gauge({ name: 'figquay_buffered_response_bytes', help: 'Bytes of responses that callers have not read yet', registers: [this.registry], collect: () => gauge.set(countBytes()) })
  }

  /**
   * Keeps gauges of the runners of each service by their speed, and of those that are in a spell of slow work. There is none
   * for each runner, as runners are too many and come and go.
   *
   * @example
   * telemetry.observeRunners(() => daemon.listRunnerStatus())
   */
  observeRunners (listStatus: () => readonly RunnerStatus[]): void {
    const registers = [this.registry]
    const runners: Gauge<'service' | 'speed'> = new Gauge({
      name: 'figquay_runners',
      help: 'Runners by service and by speed apart from spells of slow work',
      labelNames: ['service', 'speed'],
      registers,
      collect: () => {
        runners.reset()
        inSpell.reset()
        for (const status of listStatus()) {
          runners.inc({ service: status.service, speed: classifySpeed(status) })
          inSpell.inc({ service: status.service }, isInSpell(status) ? 1 : 0)
        }
      }
    })
    // Registered later, so that it is rendered with what the other one has collected.
    const inSpell = new Gauge({ name: 'figquay_runners_in_spell', help: 'Runners whose work takes much longer at the moment than it usually does there, by service', labelNames: ['service'], registers })
  }

  /** Counts a request that was refused because it has crashed runners. */
  noteQuarantined (request: ServedRequest): void {
    this.quarantined.inc({ route: request.route.name })
  }

  /**
   * Logs a liveness probe of a runner and its result; not rate-limited, as probes are rare compared with requests.
   *
   * @example
   * telemetry.recordProbe('probed runner liveness', { runner: runner.id })
   */
  recordProbe (message: string, fields: LogFields): void {
    this.logger.info(message, fields)
  }

  /**
   * Counts a delay of this process's event loop, and logs a long one.
   *
   * @param delayMs Milliseconds by which periodic work was overdue.
   * @example
   * telemetry.noteEventLoopDelay(12)
   */
  noteEventLoopDelay (delayMs: number): void {
    this.eventLoopDelays.observe(delayMs / MS_PER_SECOND)
    if (delayMs >= LOGGED_EVENT_LOOP_DELAY_MS) this.logger.info('event loop was held up', { delayMs: Math.round(delayMs) })
  }

  /**
   * Logs a decision about a request, unless the limit on such lines is reached.
   *
   * @example
   * telemetry.recordDecision('attempt failed', request, { runner: runner.id, reason: 'reset' })
   */
  recordDecision (decision: string, request: LoggedArrival, fields: LogFields): void {
    const nowMs = this.clock.readMonotonicMs()
    if (nowMs - this.windowStartMs >= MS_PER_SECOND) {
      this.windowStartMs = nowMs
      this.linesInWindow = 0
    }
    this.linesInWindow += 1
    if (this.linesInWindow > MAX_DECISION_LINES_PER_SECOND) {
      this.suppressed += 1
      return
    }
    const ageMs = Math.round(nowMs - request.arrivedAtMs)
    this.logger.info(decision, { request: request.id, route: request.route?.name, model: request.model, adapter: request.adapter, ageMs, suppressed: this.suppressed === 0 ? undefined : this.suppressed, ...this.formatStateAges(), ...fields })
    this.suppressed = 0
  }

  /** Ages as log fields; JSON can't represent infinity. */
  private formatStateAges (): LogFields {
    if (this.readStateAges === undefined) return {}
    const { storeAgeMs, inputAgeMs } = this.readStateAges()
    return { storeAgeMs: Number.isFinite(storeAgeMs) ? Math.round(storeAgeMs) : undefined, inputAgeMs: Math.round(inputAgeMs) }
  }
}
