/** One log line for each request that didn't go the plain way, bounded under load; counters for all. */
import { Counter, Histogram, Registry } from 'prom-client'
import type { Clock, LogFields, Logger } from 'figquay'
import type { ServedRequest, ServedResult } from './FigquayServingTypes.js'

/** Decision lines a second at most; what is left out is counted and told with the next one. */
const LINES_PER_SECOND = 50
const MS_PER_SECOND = 1_000
/** Upper bounds of the latency histogram, in seconds: around the objectives of interactive and batch work. */
const LATENCY_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 4, 8, 15]

/** Logs and metrics of requests. */
export class ServingTraces {
  readonly registry = new Registry()
  private readonly results: Counter<'route' | 'result'>
  private readonly attempts: Counter<'service' | 'outcome'>
  private readonly firstBytes: Histogram<'route'>
  private readonly quarantined: Counter<'route'>
  private windowStartMs = 0
  private linesInWindow = 0
  private suppressed = 0

  private constructor (private readonly clock: Clock, private readonly logger: Logger) {
    const registers = [this.registry]
    this.results = new Counter({ name: 'figquay_requests_total', help: 'Requests by route and result', labelNames: ['route', 'result'], registers })
    this.attempts = new Counter({ name: 'figquay_attempts_total', help: 'Exchanges with runners by service and outcome', labelNames: ['service', 'outcome'], registers })
    this.quarantined = new Counter({ name: 'figquay_quarantined_total', help: 'Requests refused because they have crashed runners, by route', labelNames: ['route'], registers })
    this.firstBytes = new Histogram({ name: 'figquay_first_byte_seconds', help: 'Time to the first byte of the answer', labelNames: ['route'], buckets: LATENCY_BUCKETS, registers })
  }

  /**
   * @example
   * const traces = ServingTraces.create(clock, logger)
   */
  static create (clock: Clock, logger: Logger): ServingTraces {
    return new ServingTraces(clock, logger)
  }

  /** Counts an exchange. */
  noteAttempt (service: string, outcome: string): void {
    this.attempts.inc({ service, outcome })
  }

  /** Records the time to the first byte. */
  noteFirstByte (request: ServedRequest): void {
    this.firstBytes.observe({ route: request.route.name }, (this.clock.readMonotonicMs() - request.arrivedAtMs) / MS_PER_SECOND)
  }

  /** Counts a finished request. */
  noteResult (request: ServedRequest, result: ServedResult): void {
    this.results.inc({ route: request.route.name, result })
  }

  /** Counts a request that was refused as it has crashed runners. */
  noteQuarantined (request: ServedRequest): void {
    this.quarantined.inc({ route: request.route.name })
  }

  /**
   * Logs what is asked of a runner after a failure, and what it answers; rare beside requests, so never left out.
   *
   * @example
   * traces.recordQuestion('runner is asked whether it lives', { runner: runner.id })
   */
  recordQuestion (message: string, fields: LogFields): void {
    this.logger.info(message, fields)
  }

  /**
   * Logs a decision about a request.
   *
   * @example
   * traces.recordDecision('retry', request, { runner, reason: 'reset' })
   */
  recordDecision (decision: string, request: ServedRequest, fields: LogFields): void {
    const nowMs = this.clock.readMonotonicMs()
    if (nowMs - this.windowStartMs >= MS_PER_SECOND) {
      this.windowStartMs = nowMs
      this.linesInWindow = 0
    }
    this.linesInWindow += 1
    if (this.linesInWindow > LINES_PER_SECOND) {
      this.suppressed += 1
      return
    }
    const ageMs = Math.round(nowMs - request.arrivedAtMs)
    this.logger.info(decision, { request: request.id, route: request.route.name, model: request.model, adapter: request.adapter, ageMs, suppressed: this.suppressed === 0 ? undefined : this.suppressed, ...fields })
    this.suppressed = 0
  }
}
