/** Waiting requests: strict priorities with aging; between customers, weighted fair on token work. */
import { PRIORITY_RANK, type RoutedRequest } from './FigquayRoutingTypes.js'

/** A request that waits, and where it stands. */
export interface QueueEntry<T> {
  readonly request: RoutedRequest
  readonly payload: T
  /** Virtual time at which the work would end if every customer got its share. */
  readonly finishTag: number
}

/** A request rises by one priority each time it has waited this long, in milliseconds. */
const AGING_MS = 120_000

/** The queue of one daemon. */
export class FairQueue<T> {
  private entries: ReadonlyArray<QueueEntry<T>> = []
  private readonly lastTags = new Map<string, number>()
  private virtualTime = 0

  /**
   * @example
   * const queue = FairQueue.create<Waiter>()
   */
  static create<T> (): FairQueue<T> {
    return new FairQueue<T>()
  }

  /** Requests that wait. */
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
    const start = Math.max(this.virtualTime, this.lastTags.get(customer) ?? 0)
    const finishTag = start + (request.promptTokens + request.maxOutputTokens) / share
    this.lastTags.set(customer, finishTag)
    const entry = { request, payload, finishTag }
    this.entries = [...this.entries, entry]
    return entry
  }

  /**
   * Takes an entry out; `served` moves the virtual time on.
   *
   * @example
   * queue.removeEntry(entry, true)
   */
  removeEntry (entry: QueueEntry<T>, served: boolean): void {
    this.entries = this.entries.filter((other) => other !== entry)
    if (served) this.virtualTime = Math.max(this.virtualTime, entry.finishTag - (entry.request.promptTokens + entry.request.maxOutputTokens) / entry.request.contract.share)
    if (this.entries.length === 0) this.lastTags.clear()
  }

  /** Entries in the order in which they are to be served. */
  listInOrder (nowMs: number): Array<QueueEntry<T>> {
    return [...this.entries].sort((a, b) => rankEntry(a.request, nowMs) - rankEntry(b.request, nowMs) || a.finishTag - b.finishTag)
  }

  /** Prompt tokens that go to a model before a request of some priority. */
  sumTokensAhead (request: RoutedRequest, nowMs: number): number {
    const rank = rankEntry(request, nowMs)
    return this.entries
      .filter((entry) => entry.request.model.name === request.model.name && entry.request !== request && rankEntry(entry.request, nowMs) <= rank)
      .reduce((sum, entry) => sum + entry.request.promptTokens, 0)
  }
}

/** Rank of a request after aging. */
function rankEntry (request: RoutedRequest, nowMs: number): number {
  const aged = Math.floor((nowMs - request.arrivedAtMs) / AGING_MS)
  return Math.max(0, PRIORITY_RANK[request.kind.priority] - aged)
}
