/**
 * Keeps the limits on requests that runners name, which hold over all daemons together: one daemon, the leader, issues the
 * permits for each limited runner from one token bucket. A share for each daemon wouldn't do: with a limit of one request a
 * second and 66 daemons, their bursts of one request alone exceed it.
 */
import { setBounded, type Clock, type Outcome } from 'figquay'
import type { Runner } from 'figquay-fleet'
import { TokenBucket } from 'figquay-routing'

/** Request for the permit to send one request to a limited runner. */
export interface RequestPermitRequest {
  readonly runner: string
  /** Start time of the runner process that named the limit. */
  readonly bornMs: number
  /** Limit that it named last, as the requester knows it. */
  readonly requestsPerSecond: number
  /** Time since an answer to the requester named it, in milliseconds. */
  readonly ageMs: number
}

/** Reply to such a request. */
export type RequestPermitReply =
  | { readonly type: 'granted' }
  /** No permit is available for `waitMs` milliseconds. */
  | { readonly type: 'denied', readonly waitMs: number }
  /** The runner has answered another daemon without naming a limit since. */
  | { readonly type: 'limit-ended' }

/** Report that a runner process no longer names a limit. */
export type LimitEnd = Pick<RequestPermitRequest, 'runner' | 'bornMs'>

/** Options of the limiter. */
export interface RequestLimiterOptions {
  readonly self: string
  readonly clock: Clock
  /** Returns the leader, which issues the permits; undefined or empty if none is known. */
  readonly findLeader: () => string | undefined
  readonly callPeer: <T>(daemon: string, method: string, params: unknown, timeoutMs: number) => Promise<Outcome<T, string>>
  /** Sends a message without a reply, which may be lost. */
  readonly notifyPeer: (daemon: string, method: string, params: unknown) => void
}

/** Permits for one runner process. */
interface PermitPool {
  readonly bucket: TokenBucket
  /** Time at which a daemon reported that the limit had ended. */
  endedAtMs: number
}

interface NamedLimit {
  readonly bornMs: number
  readonly requestsPerSecond: number
  /** Time of the last answer that named it. */
  readonly namedAtMs: number
}

/** Timeout of a request for a permit, in milliseconds; the request then goes to another runner. */
const PERMIT_TIMEOUT_MS = 300
/** Without a leader that answers, a runner gets no request for this time, in milliseconds: a fraction of what replacing the leader takes. */
const UNCONFIRMED: RequestPermitReply = { type: 'denied', waitMs: 500 }
/** Shortest time for which a runner gets no request after a permit was denied, in milliseconds. */
const MIN_WAIT_MS = 10
const MS_PER_SECOND = 1_000
/** Tokens that a bucket holds, as the time in which it refills, in milliseconds; it holds one at least. */
const BURST_MS = 500
/** Lowest rate that is told apart from none, in requests per second. */
const MIN_REQUESTS_PER_SECOND = 0.01
/** A limit that no answer has named for this long may be over, in milliseconds: the runner is no longer avoided, and its next answer tells. */
const AVOIDANCE_MS = 2_000
/** Runners whose limits or permits are kept: more than are in need at once. */
const MAX_LIMITED_RUNNERS = 1_000

/** Limits that runners have named to this daemon, and the permits that it issues while it is the leader. */
export class RequestLimiter {
  private readonly limits = new Map<string, NamedLimit>()
  private readonly pools = new Map<string, PermitPool>()

  private constructor (private readonly options: RequestLimiterOptions) {}

  /**
   * @example
   * const limiter = RequestLimiter.create(options)
   */
  static create (options: RequestLimiterOptions): RequestLimiter {
    return new RequestLimiter(options)
  }

  /**
   * Records the limit that an answer named; returns whether it is new or differs.
   *
   * @example
   * limiter.noteLimit(runner, 1.3)
   */
  noteLimit ({ id, bornMs }: Runner, requestsPerSecond: number): boolean {
    const known = this.limits.get(id)
    setBounded(this.limits, id, { bornMs, requestsPerSecond, namedAtMs: this.options.clock.readMonotonicMs() }, MAX_LIMITED_RUNNERS)
    return known?.bornMs !== bornMs || known.requestsPerSecond !== requestsPerSecond
  }

  /**
   * Records that an answer named no limit, and reports it to the leader if that ends one; returns whether it does. An answer
   * to a request that was sent before the limit was last named ends nothing, as it may be older than that.
   *
   * @example
   * limiter.noteNoLimit(runner, sentAtMs)
   */
  noteNoLimit ({ id, bornMs }: Runner, sentAtMs: number): boolean {
    const known = this.limits.get(id)
    if (known === undefined || (known.bornMs === bornMs && sentAtMs < known.namedAtMs)) return false
    this.limits.delete(id)
    this.reportEnd({ runner: id, bornMs })
    return true
  }

  /** Whether requests should go to other runners, if there are any: the runner has named a limit lately. */
  isAvoided (runner: Runner): boolean {
    const limit = this.findLimit(runner)
    return limit !== undefined && this.options.clock.readMonotonicMs() - limit.namedAtMs < AVOIDANCE_MS
  }

  /**
   * Acquires the permit to send one request to a runner.
   *
   * @returns 0 if the request may be sent, otherwise the milliseconds for which the runner gets no request from this daemon.
   * @example
   * const waitMs = await limiter.acquirePermit(runner)
   */
  async acquirePermit (runner: Runner): Promise<number> {
    const limit = this.findLimit(runner)
    if (limit === undefined) return 0
    const { requestsPerSecond, namedAtMs } = limit
    const reply = await this.requestPermit({ runner: runner.id, bornMs: runner.bornMs, requestsPerSecond, ageMs: this.options.clock.readMonotonicMs() - namedAtMs })
    if (reply.type === 'denied') return Math.max(MIN_WAIT_MS, reply.waitMs)
    if (reply.type === 'limit-ended' && this.limits.get(runner.id) === limit) this.limits.delete(runner.id)
    return 0
  }

  private async requestPermit (request: RequestPermitRequest): Promise<RequestPermitReply> {
    const { self, findLeader, callPeer } = this.options
    const leader = findLeader()
    if (leader === self) return this.handleAcquire(request)
    if (leader === undefined || leader === '') return UNCONFIRMED
    const reply = await callPeer<RequestPermitReply>(leader, 'limit.take', request, PERMIT_TIMEOUT_MS)
    return reply.ok && isPermitReply(reply.value) ? reply.value : UNCONFIRMED
  }

  /** Handles a daemon's request for a permit. */
  handleAcquire ({ runner, bornMs, requestsPerSecond, ageMs }: RequestPermitRequest): RequestPermitReply {
    const nowMs = this.options.clock.readMonotonicMs()
    const pool = this.getOrCreatePool(runner, bornMs, nowMs)
    if (nowMs - ageMs < pool.endedAtMs) return { type: 'limit-ended' }
    const rate = Number.isFinite(requestsPerSecond) ? Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond) : MIN_REQUESTS_PER_SECOND
    const waitMs = pool.bucket.computeWaitMs(1, rate, Math.max(1, rate * BURST_MS / MS_PER_SECOND), nowMs)
    if (waitMs > 0) return { type: 'denied', waitMs }
    pool.bucket.consume(1)
    return { type: 'granted' }
  }

  /** Handles a daemon's report that a limit has ended. */
  handleEnd ({ runner, bornMs }: LimitEnd): void {
    const nowMs = this.options.clock.readMonotonicMs()
    this.getOrCreatePool(runner, bornMs, nowMs).endedAtMs = nowMs
  }

  private reportEnd (end: LimitEnd): void {
    const { self, findLeader, notifyPeer } = this.options
    const leader = findLeader()
    if (leader === self) this.handleEnd(end)
    else if (leader !== undefined && leader !== '') notifyPeer(leader, 'limit.end', end)
  }

  private getOrCreatePool (runner: string, bornMs: number, nowMs: number): PermitPool {
    const key = `${runner}\n${bornMs}`
    const pool = this.pools.get(key) ?? { bucket: TokenBucket.create(1, nowMs), endedAtMs: Number.NEGATIVE_INFINITY }
    setBounded(this.pools, key, pool, MAX_LIMITED_RUNNERS)
    return pool
  }

  private findLimit ({ id, bornMs }: Runner): NamedLimit | undefined {
    const limit = this.limits.get(id)
    return limit?.bornMs === bornMs ? limit : undefined
  }
}

function isPermitReply (value: unknown): value is RequestPermitReply {
  const { type, waitMs } = (value ?? {}) as Record<string, unknown>
  return type === 'granted' || type === 'limit-ended' || (type === 'denied' && Number.isFinite(waitMs))
}
