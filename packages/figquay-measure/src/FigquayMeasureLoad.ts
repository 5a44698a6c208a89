/** Sends a run's arrivals when they are due, whatever becomes of the earlier ones. */
import { setMaxListeners } from 'node:events'
import { build, type Histogram } from 'hdr-histogram-js'
import { Caller } from './FigquayMeasureCaller.js'
import type { LocalCluster } from './FigquayMeasureCluster.js'
import type { ClusterDaemon } from './FigquayMeasureClusterTypes.js'
import { makePrompt, type Arrival, type TrafficKind } from './FigquayMeasureWorkload.js'

/** Counts of one kind of request. */
export interface KindTally {
  total: number
  met: number
  late: number
  refused: number
  limited: number
  failed: number
  /** Answers that were not the caller's own, or incomplete without saying so. */
  wrong: number
  retryAfterMissing: number
}

/** What a run came to. */
export interface LoadResult {
  readonly kinds: ReadonlyMap<string, KindTally>
  readonly firstTokenMs: Histogram
  readonly tokenGapMs: Histogram
  readonly refusalMs: Histogram
  /** Idempotency keys that were used. */
  readonly keys: readonly string[]
  /** Completions that met their contract, by second of the run. */
  readonly tokens: number
}

const READINESS_POLL_MS = 400
const HIGHEST_MS = 700_000

/** The platform's balancer: a daemon at random among those that were ready a moment ago. */
export class Balancer {
  private ready: ClusterDaemon[]
  private readonly timer: NodeJS.Timeout

  private constructor (private readonly cluster: LocalCluster) {
    this.ready = [...cluster.daemons]
    this.timer = setInterval(() => {
      this.refresh().catch(() => undefined)
    }, READINESS_POLL_MS)
  }

  /**
   * @example
   * const balancer = Balancer.create(cluster)
   */
  static create (cluster: LocalCluster): Balancer {
    return new Balancer(cluster)
  }

  /** A daemon to send the next request to. */
  selectDaemon (): ClusterDaemon {
    const candidates = this.ready.length > 0 ? this.ready : this.cluster.daemons
    return candidates[Math.floor(Math.random() * candidates.length)]!
  }

  /** Stops asking. */
  stop (): void {
    clearInterval(this.timer)
  }

  private async refresh (): Promise<void> {
    const states = await Promise.all(this.cluster.daemons.map((daemon) => this.cluster.isReady(daemon)))
    this.ready = this.cluster.daemons.filter((_, index) => states[index])
  }
}

function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_MS, numberOfSignificantValueDigits: 3 })
}

/** Runs the arrivals of one trial. */
export class LoadRun {
  private readonly kinds = new Map<string, KindTally>()
  private readonly firstTokenMs = createHistogram()
  private readonly tokenGapMs = createHistogram()
  private readonly refusalMs = createHistogram()
  private readonly keys: string[] = []
  private readonly caller = Caller.create()
  private tokens = 0

  private constructor (private readonly cluster: LocalCluster, private readonly label: string) {}

  /**
   * @example
   * const result = await LoadRun.create(cluster, 'run-1').runArrivals(arrivals, 30_000)
   */
  static create (cluster: LocalCluster, label: string): LoadRun {
    return new LoadRun(cluster, label)
  }

  /** Sends everything when it is due; what has no answer `graceMs` after the last arrival counts as late. */
  async runArrivals (arrivals: readonly Arrival[], graceMs: number): Promise<LoadResult> {
    const balancer = Balancer.create(this.cluster)
    const giveUp = new AbortController()
    setMaxListeners(0, giveUp.signal)
    const startMs = performance.now()
    const open = new Set<Promise<void>>()
    for (const arrival of arrivals) {
      const pause = startMs + arrival.atMs - performance.now()
      if (pause > 1) await new Promise((resolve) => setTimeout(resolve, pause))
      const call = this.sendArrival(arrival, balancer.selectDaemon(), giveUp.signal).finally(() => open.delete(call))
      open.add(call)
    }
    const timer = setTimeout(() => giveUp.abort(), graceMs)
    await Promise.all(open)
    clearTimeout(timer)
    balancer.stop()
    this.caller.close()
    return { kinds: this.kinds, firstTokenMs: this.firstTokenMs, tokenGapMs: this.tokenGapMs, refusalMs: this.refusalMs, keys: this.keys, tokens: this.tokens }
  }

  private async sendArrival (arrival: Arrival, daemon: ClusterDaemon, signal: AbortSignal): Promise<void> {
    const tally = this.findTally(arrival.traffic.name)
    tally.total += 1
    if (arrival.traffic.target.type === 'model') await this.sendCompletion(arrival, daemon, tally, signal)
    else await this.sendServiceCall(arrival, daemon, tally)
  }

  private async sendCompletion (arrival: Arrival, daemon: ClusterDaemon, tally: KindTally, signal: AbortSignal): Promise<void> {
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
    this.tokens += result.tokens
    if (result.answer === 'wrong') tally.wrong += 1
    if (result.answer !== 'whole') {
      this.countRefusal(tally, result.status, result.totalMs, result.retryAfterSeconds)
      return
    }
    if (traffic.kind !== 'overnight' && traffic.kind !== 'overnight-plan') {
      this.firstTokenMs.recordValue(Math.round(result.firstTokenMs))
      this.tokenGapMs.recordValue(Math.round(result.tokenGapMs))
    }
    this.countAnswer(tally, traffic, result.firstTokenMs, result.totalMs)
  }

  private async sendServiceCall (arrival: Arrival, daemon: ClusterDaemon, tally: KindTally): Promise<void> {
    const { traffic, index } = arrival
    if (traffic.target.type !== 'service') return
    const key = traffic.target.isGuarded ? `${this.label}-${traffic.name}-${index}` : undefined
    if (key !== undefined) this.keys.push(key)
    const body = traffic.target.method === 'POST' ? { item: index } : undefined
    const reply = await this.caller.callService(daemon.callerUrl, traffic.key, traffic.target.method, traffic.target.path, body, key)
    if (reply.status >= 200 && reply.status < 300) this.countAnswer(tally, traffic, reply.totalMs, reply.totalMs)
    else this.countRefusal(tally, reply.status, reply.totalMs, reply.retryAfterSeconds)
  }

  private countAnswer (tally: KindTally, traffic: TrafficKind, firstTokenMs: number, totalMs: number): void {
    const isMet = firstTokenMs <= traffic.firstTokenWithinMs && totalMs <= traffic.answerWithinMs
    if (isMet) tally.met += 1
    else tally.late += 1
  }

  private countRefusal (tally: KindTally, status: number, totalMs: number, retryAfterSeconds: number | undefined): void {
    if (status === 429) tally.limited += 1
    else if (status === 503) tally.refused += 1
    else tally.failed += 1
    if (status !== 429 && status !== 503) return
    this.refusalMs.recordValue(Math.round(totalMs))
    if (retryAfterSeconds === undefined) tally.retryAfterMissing += 1
  }

  private findTally (name: string): KindTally {
    let tally = this.kinds.get(name)
    if (tally === undefined) {
      tally = { total: 0, met: 0, late: 0, refused: 0, limited: 0, failed: 0, wrong: 0, retryAfterMissing: 0 }
      this.kinds.set(name, tally)
    }
    return tally
  }
}
