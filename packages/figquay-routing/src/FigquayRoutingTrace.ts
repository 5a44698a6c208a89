/** Why a request went the way it did, for `figquayctl explain`. */
import type { Clock } from 'figquay'

/** One decision about a request. */
export interface TraceEvent {
  readonly at: string
  readonly event: string
  readonly detail: string
}

const KEPT_REQUESTS = 2_000

/** Decisions of the latest requests. */
export class RequestTraces {
  private readonly traces = new Map<string, TraceEvent[]>()

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const traces = RequestTraces.create(clock)
   */
  static create (clock: Clock): RequestTraces {
    return new RequestTraces(clock)
  }

  /**
   * Notes a decision.
   *
   * @example
   * traces.addEvent('req-1', 'sent', 'engine-2, predicted first token 310 ms')
   */
  addEvent (requestId: string, event: string, detail: string): void {
    const entry = { at: this.clock.now().toISOString(), event, detail }
    const events = this.traces.get(requestId)
    if (events !== undefined) {
      events.push(entry)
      return
    }
    this.traces.set(requestId, [entry])
    if (this.traces.size > KEPT_REQUESTS) this.traces.delete(this.traces.keys().next().value!)
  }

  /** Decisions about one request, oldest first. */
  listEvents (requestId: string): readonly TraceEvent[] {
    return this.traces.get(requestId) ?? []
  }
}
