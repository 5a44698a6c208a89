/** Metrics of one daemon, in Prometheus' format. Times are in seconds. */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client'

/** The delay of the event loop is sampled this often, in milliseconds: each sample wakes the process. */
const LOOP_PRECISION_MS = 250
const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.2, 2, 4, 8, 15, 30, 60]

/** How a request ended, for counters. */
export type RequestResult = 'met' | 'late' | 'refused' | 'failed' | 'limited' | 'invalid'

/** The metrics and how to write them. */
export class Metrics {
  readonly registry = new Registry()
  private readonly requests = new Counter({ name: 'figquay_requests_total', help: 'Requests by result', labelNames: ['customer', 'kind', 'result'], registers: [this.registry] })
  private readonly answerSeconds = new Histogram({ name: 'figquay_answer_seconds', help: 'Time to the whole answer', labelNames: ['customer', 'kind'], buckets: LATENCY_BUCKETS_SECONDS, registers: [this.registry] })
  private readonly firstTokenSeconds = new Histogram({ name: 'figquay_first_token_seconds', help: 'Time to the first token', labelNames: ['customer', 'kind'], buckets: LATENCY_BUCKETS_SECONDS, registers: [this.registry] })
  private readonly moves = new Counter({ name: 'figquay_moves_total', help: 'Orders that move models or adapters', labelNames: ['action', 'result'], registers: [this.registry] })
  private readonly retries = new Counter({ name: 'figquay_retries_total', help: 'Attempts after the first', registers: [this.registry] })

  private constructor () {
    collectDefaultMetrics({ register: this.registry, eventLoopMonitoringPrecision: LOOP_PRECISION_MS })
  }

  /**
   * @example
   * const metrics = Metrics.create()
   */
  static create (): Metrics {
    return new Metrics()
  }

  /** Counts a request that has ended. */
  countRequest (customer: string, kind: string, result: RequestResult): void {
    this.requests.inc({ customer, kind, result })
  }

  /** Notes the times of an answer, in milliseconds. */
  observeAnswer (customer: string, kind: string, totalMs: number, firstTokenMs?: number): void {
    this.answerSeconds.observe({ customer, kind }, totalMs / 1_000)
    if (firstTokenMs !== undefined) this.firstTokenSeconds.observe({ customer, kind }, firstTokenMs / 1_000)
  }

  /** Counts attempts after the first. */
  countRetries (count: number): void {
    this.retries.inc(count)
  }

  /** Counts a move. */
  countMove (action: string, result: string): void {
    this.moves.inc({ action, result })
  }

  /**
   * Registers a gauge that is read when metrics are written.
   *
   * @example
   * metrics.registerGauge('figquay_queue_length', 'Requests that wait', () => dispatcher.queueLength)
   */
  registerGauge (name: string, help: string, read: () => number): () => void {
    const gauge = new Gauge({ name, help, registers: [this.registry], collect () { this.set(read()) } })
    return () => {
      this.registry.removeSingleMetric(name)
      gauge.reset()
    }
  }
}
