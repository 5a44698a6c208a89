/** Open-loop load generator: sends each request when it is due, regardless of the progress of earlier ones. */
import { setMaxListeners } from 'node:events'
import { build, type Histogram } from 'hdr-histogram-js'
import { Caller } from './FigquayMeasureCaller.js'
import type { LocalCluster } from './FigquayMeasureCluster.js'
import type { ClusterDaemon } from './FigquayMeasureClusterTypes.js'
import { makePrompt, type Arrival, type TrafficKind } from './FigquayMeasureWorkload.js'

/** Counts of the results of one kind of request. */
export interface KindCounts {
  total: number
  /** Answered within contract. */
  met: number
  /** Answered, but too late for the contract. */
  late: number
  /** Rejected with status 503. */
  refused: number
  /** Rejected with status 429. */
  limited: number
  failed: number
  /** Answers with the content of another request, or incomplete although they ended normally. */
  wrong: number
  /** Rejections with status 429 or 503 that lack `Retry-After`. */
  retryAfterMissing: number
}

/** Result of a run. */
export interface LoadResult {
  readonly kinds: ReadonlyMap<string, KindCounts>
  readonly firstTokenMs: Histogram
  readonly tokenGapMs: Histogram
  readonly refusalMs: Histogram
  /** Idempotency keys of all service calls that carried one. */
  readonly idempotencyKeys: readonly string[]
  /** Output tokens received in all completions. */
  readonly outputTokens: number
}

const READINESS_POLL_MS = 400
const HIGHEST_TRACKABLE_MS = 700_000

/** Simulates the platform's load balancer: selects a random daemon among those that passed the last readiness check. */
export class Balancer {
  private readyDaemons: ClusterDaemon[]
  private readonly timer: NodeJS.Timeout

  private constructor (private readonly cluster: LocalCluster) {
    this.readyDaemons = [...cluster.daemons]
    this.timer = setInterval(() => {
      this.pollReadiness().catch(() => undefined)
    }, READINESS_POLL_MS)
  }

  /**
   * @example
   * const balancer = Balancer.create(cluster)
   */
  static create (cluster: LocalCluster): Balancer {
    return new Balancer(cluster)
  }

  /** Selects the daemon for the next request; any daemon if none is ready. */
  selectDaemon (): ClusterDaemon {
    const candidates = this.readyDaemons.length > 0 ? this.readyDaemons : this.cluster.daemons
    return candidates[Math.floor(Math.random() * candidates.length)]!
  }

  /** Stops the readiness checks. */
  stop (): void {
    clearInterval(this.timer)
  }

  private async pollReadiness (): Promise<void> {
    const states = await Promise.all(this.cluster.daemons.map((daemon) => this.cluster.isReady(daemon)))
    this.readyDaemons = this.cluster.daemons.filter((_, index) => states[index])
  }
}

function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_TRACKABLE_MS, numberOfSignificantValueDigits: 3 })
}

/** Sends the arrivals of one run and collects their results. */
export class LoadRun {
  private readonly kinds = new Map<string, KindCounts>()
  private readonly firstTokenMs = createHistogram()
  private readonly tokenGapMs = createHistogram()
  private readonly refusalMs = createHistogram()
  private readonly idempotencyKeys: string[] = []
  private readonly caller = Caller.create()
  private outputTokens = 0

  private constructor (private readonly cluster: LocalCluster, private readonly label: string) {}

  /**
   * @example
   * const result = await LoadRun.create(cluster, 'run-1').runArrivals(arrivals, 30_000)
   */
  static create (cluster: LocalCluster, label: string): LoadRun {
    return new LoadRun(cluster, label)
  }

  /** Sends every request when it is due; completions that are still open `graceMs` after the last arrival are aborted and count as failed. */
  async runArrivals (arrivals: readonly Arrival[], graceMs: number): Promise<LoadResult> {
    const balancer = Balancer.create(this.cluster)
    const abortController = new AbortController()
    setMaxListeners(0, abortController.signal)
    const startedAtMs = performance.now()
    const openCalls = new Set<Promise<void>>()
    for (const arrival of arrivals) {
      const delayMs = startedAtMs + arrival.atMs - performance.now()
      if (delayMs > 1) await new Promise((resolve) => setTimeout(resolve, delayMs))
      const call = this.sendArrival(arrival, balancer.selectDaemon(), abortController.signal).finally(() => openCalls.delete(call))
      openCalls.add(call)
    }
    const timer = setTimeout(() => abortController.abort(), graceMs)
    await Promise.all(openCalls)
    clearTimeout(timer)
    balancer.stop()
    this.caller.close()
    return { kinds: this.kinds, firstTokenMs: this.firstTokenMs, tokenGapMs: this.tokenGapMs, refusalMs: this.refusalMs, idempotencyKeys: this.idempotencyKeys, outputTokens: this.outputTokens }
  }

  private async sendArrival (arrival: Arrival, daemon: ClusterDaemon, signal: AbortSignal): Promise<void> {
    const counts = this.getOrCreateCounts(arrival.traffic.name)
    counts.total += 1
    if (arrival.traffic.target.type === 'model') await this.sendCompletion(arrival, daemon, counts, signal)
    else await this.sendServiceCall(arrival, daemon, counts)
  }

  private async sendCompletion (arrival: Arrival, daemon: ClusterDaemon, counts: KindCounts, signal: AbortSignal): Promise<void> {
    const { traffic, model, index } = arrival
    if (traffic.target.type !== 'model') return
    const result = await this.caller.complete({
      url: daemon.callerUrl,
      key: traffic.key,
      kind: traffic.kind,
      model,
      nonce: `${this.label}-${traffic.name}-${index}`,
      prompt: makePrompt(model, traffic.target.promptTokens, index),
      outputTokens: traffic.target.outputTokens,
      signal
    })
    this.outputTokens += result.tokens
    if (result.answer === 'wrong') counts.wrong += 1
    if (result.answer !== 'whole') {
      this.countFailure(counts, result.status, result.totalMs, result.retryAfterSeconds)
      return
    }
    if (traffic.kind !== 'overnight' && traffic.kind !== 'overnight-plan') {
      this.firstTokenMs.recordValue(Math.round(result.firstTokenMs))
      this.tokenGapMs.recordValue(Math.round(result.tokenGapMs))
    }
    this.countAnswer(counts, traffic, result.firstTokenMs, result.totalMs)
  }

  private async sendServiceCall (arrival: Arrival, daemon: ClusterDaemon, counts: KindCounts): Promise<void> {
    const { traffic, index } = arrival
    if (traffic.target.type !== 'service') return
    const idempotencyKey = traffic.target.hasIdempotencyKey ? `${this.label}-${traffic.name}-${index}` : undefined
    if (idempotencyKey !== undefined) this.idempotencyKeys.push(idempotencyKey)
    const body = traffic.target.method === 'POST' ? { item: index } : undefined
    const reply = await this.caller.callService(daemon.callerUrl, traffic.key, traffic.target.method, traffic.target.path, body, idempotencyKey)
    if (reply.status >= 200 && reply.status < 300) this.countAnswer(counts, traffic, reply.totalMs, reply.totalMs)
    else this.countFailure(counts, reply.status, reply.totalMs, reply.retryAfterSeconds)
  }

  private countAnswer (counts: KindCounts, traffic: TrafficKind, firstTokenMs: number, totalMs: number): void {
    const isMet = firstTokenMs <= traffic.firstTokenWithinMs && totalMs <= traffic.answerWithinMs
    if (isMet) counts.met += 1
    else counts.late += 1
  }

  private countFailure (counts: KindCounts, status: number, totalMs: number, retryAfterSeconds: number | undefined): void {
    if (status === 429) counts.limited += 1
    else if (status === 503) counts.refused += 1
    else counts.failed += 1
    if (status !== 429 && status !== 503) return
    this.refusalMs.recordValue(Math.round(totalMs))
    if (retryAfterSeconds === undefined) counts.retryAfterMissing += 1
  }

  private getOrCreateCounts (name: string): KindCounts {
    let counts = this.kinds.get(name)
    if (counts === undefined) {
      counts = { total: 0, met: 0, late: 0, refused: 0, limited: 0, failed: 0, wrong: 0, retryAfterMissing: 0 }
      this.kinds.set(name, counts)
    }
    return counts
  }
}
