/** Request queue: strict priorities with aging, and weighted fair queueing by tokens among customers. */
import { PRIORITY_RANK, type RoutedRequest } from './FigquayRoutingTypes.js'

/** A queued request and its position. */
export interface QueueEntry<T> {
  readonly request: RoutedRequest
  readonly payload: T
  /** Virtual time at which the request would finish if every customer got its exact share. */
  readonly finishTag: number
}

/** Waiting time after which a request moves up by one priority, in milliseconds. */
const AGING_STEP_MS = 120_000

/** The request queue of one daemon. */
export class FairQueue<T> {
  private entries: ReadonlyArray<QueueEntry<T>> = []
  private readonly lastFinishTags = new Map<string, number>()
  private virtualTime = 0

  /**
   * @example
   * const queue = FairQueue.create<Waiter>()
   */
  static create<T> (): FairQueue<T> {
    return new FairQueue<T>()
  }

  /** Number of queued requests. */
  get length (): number {
    return this.entries.length
  }

  /**
   * Adds a request and returns its entry.
   *
   * @example
   * const entry = queue.addRequest(request, waiter)
   */
  addRequest (request: RoutedRequest, payload: T): QueueEntry<T> {
    const { customer, share } = request.contract
    const startTag = Math.max(this.virtualTime, this.lastFinishTags.get(customer) ?? 0)
    const finishTag = startTag + (request.promptTokens + request.maxOutputTokens) / share
    this.lastFinishTags.set(customer, finishTag)
    const entry = { request, payload, finishTag }
    this.entries = [...this.entries, entry]
    return entry
  }

  /**
   * Removes an entry; the virtual time advances if it was served.
   *
   * @example
   * queue.removeEntry(entry, true)
   */
  removeEntry (entry: QueueEntry<T>, isServed: boolean): void {
    this.entries = this.entries.filter((other) => other !== entry)
    if (isServed) this.virtualTime = Math.max(this.virtualTime, entry.finishTag - (entry.request.promptTokens + entry.request.maxOutputTokens) / entry.request.contract.share)
    if (this.entries.length === 0) this.lastFinishTags.clear()
  }

  /** Entries in the order in which they are served. */
  listInServiceOrder (nowMs: number): Array<QueueEntry<T>> {
    return [...this.entries].sort((a, b) => computeAgedRank(a.request, nowMs) - computeAgedRank(b.request, nowMs) || a.finishTag - b.finishTag)
  }

  /** Prompt tokens queued for the model of a request at its rank or a lower one. */
  sumTokensAhead (request: RoutedRequest, nowMs: number): number {
    const rank = computeAgedRank(request, nowMs)
    return this.entries
      .filter((entry) => entry.request.model.name === request.model.name && entry.request !== request && computeAgedRank(entry.request, nowMs) <= rank)
      .reduce((sum, entry) => sum + entry.request.promptTokens, 0)
  }
}

/** Priority rank of a request after aging. */
function computeAgedRank (request: RoutedRequest, nowMs: number): number {
  const agingSteps = Math.floor((nowMs - request.arrivedAtMs) / AGING_STEP_MS)
  return Math.max(0, PRIORITY_RANK[request.kind.priority] - agingSteps)
}
