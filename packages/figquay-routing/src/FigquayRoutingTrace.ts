/** Trace of the routing decisions about each request, shown by `figquayctl explain`. */
import type { Clock } from 'figquay'

/** One event in the trace of a request. */
export interface TraceEvent {
  readonly at: string
  readonly event: string
  readonly detail: string
}

const MAX_TRACED_REQUESTS = 2_000

/** Traces of the latest requests; the oldest is evicted when there are too many. */
export class RequestTraces {
  private readonly eventsByRequest = new Map<string, TraceEvent[]>()

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const traces = RequestTraces.create(clock)
   */
  static create (clock: Clock): RequestTraces {
    return new RequestTraces(clock)
  }

  /**
   * Adds an event to the trace of a request.
   *
   * @example
   * traces.addEvent('req-1', 'sent', 'to engine-2, from chunk 0')
   */
  addEvent (requestId: string, event: string, detail: string): void {
    const entry = { at: this.clock.now().toISOString(), event, detail }
    const events = this.eventsByRequest.get(requestId)
    if (events !== undefined) {
      events.push(entry)
      return
    }
    this.eventsByRequest.set(requestId, [entry])
    if (this.eventsByRequest.size > MAX_TRACED_REQUESTS) this.eventsByRequest.delete(this.eventsByRequest.keys().next().value!)
  }

  /** Events of one request, oldest first. */
  listEvents (requestId: string): readonly TraceEvent[] {
    return this.eventsByRequest.get(requestId) ?? []
  }
}
