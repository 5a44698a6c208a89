/** Prometheus metrics of one daemon. Times are exported in seconds. */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Interval for sampling the event-loop delay. A shorter one costs more CPU time, as each sample wakes the process. */
const EVENT_LOOP_SAMPLE_INTERVAL_MS = 250
const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.2, 2, 4, 8, 15, 30, 60]

/** Result of a request, as counted in metrics. */
export type RequestResult = 'met' | 'late' | 'refused' | 'failed' | 'limited' | 'invalid'

/** Registry of the metrics and methods to update them. */
export class Metrics {
  readonly registry = new Registry()
  private readonly requests = new Counter({ name: 'figquay_requests_total', help: 'Requests by result', labelNames: ['customer', 'kind', 'result'], registers: [this.registry] })
  private readonly answerSeconds = new Histogram({ name: 'figquay_answer_seconds', help: 'Time to the whole answer', labelNames: ['customer', 'kind'], buckets: LATENCY_BUCKETS_SECONDS, registers: [this.registry] })
  private readonly firstTokenSeconds = new Histogram({ name: 'figquay_first_token_seconds', help: 'Time to the first token', labelNames: ['customer', 'kind'], buckets: LATENCY_BUCKETS_SECONDS, registers: [this.registry] })
  private readonly moves = new Counter({ name: 'figquay_moves_total', help: 'Orders that move models or adapters', labelNames: ['action', 'result'], registers: [this.registry] })
  private readonly retries = new Counter({ name: 'figquay_retries_total', help: 'Attempts after the first', registers: [this.registry] })

  private constructor () {
    collectDefaultMetrics({ register: this.registry, eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_INTERVAL_MS })
  }

  /**
   * @example
   * const metrics = Metrics.create()
   */
  static create (): Metrics {
    return new Metrics()
  }

  /** Counts a finished request. */
  countRequest (customer: string, kind: string, result: RequestResult): void {
    this.requests.inc({ customer, kind, result })
  }

  /** Records the latencies of an answer, in milliseconds. */
  observeAnswer (customer: string, kind: string, totalMs: number, firstTokenMs?: number): void {
    this.answerSeconds.observe({ customer, kind }, totalMs / 1_000)
    if (firstTokenMs !== undefined) this.firstTokenSeconds.observe({ customer, kind }, firstTokenMs / 1_000)
  }

  /** Counts attempts after the first. */
  countRetries (count: number): void {
    this.retries.inc(count)
  }

  /** Counts an order that loads or unloads a model or an adapter. */
  countMove (action: string, result: string): void {
    this.moves.inc({ action, result })
  }

  /**
   * Registers a gauge whose value is read at each scrape; returns a function that removes it.
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
