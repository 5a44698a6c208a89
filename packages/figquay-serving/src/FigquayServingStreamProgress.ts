/** Where the caller of a stream is, and which answer may go on from there. No clock, no I/O. */
import type { Runner } from 'figquay-fleet'
import type { ExchangeEvent, ExchangeFailure } from './FigquayServingTypes.js'
import { nameVersion } from './FigquayServingVersionHistory.js'

const OK = 200
/** Event ids that can be compared: decimal numbers that a double represents exactly. */
const COMPARABLE_ID = /^\d{1,15}$/

/** A runner that goes back behind the position that it was given would repeat events. */
export const MISPLACED_RESUMPTION: ExchangeFailure = { execution: 'unknown', reason: 'crossed', message: 'the runner resumed the stream before the requested position' }
/** A runner that takes up a stream sends events of it. */
export const EMPTY_RESUMPTION: ExchangeFailure = { execution: 'unknown', reason: 'truncated', message: 'the runner resumed the stream without an event' }

type HeadEvent = Extract<ExchangeEvent, { type: 'head' }>
type DataEvent = Extract<ExchangeEvent, { type: 'data' }>

/** Progress of the answer to one request over its attempts. */
export class StreamProgress {
  /** Whether the answer that was forwarded is declared to be a stream of events. */
  private isEventStream = false
  /** Events without an id were delivered after the last one with an id, so that no runner can go on where the caller is. */
  private isPositionUnknown = false
  private eventId: string | undefined
  private version: string | undefined
  private isBegun = false

  private constructor (callerEventId: string | undefined, version: string | undefined) {
    this.eventId = callerEventId
    this.version = version
  }

  /**
   * @param callerEventId Id of the last event that the caller has from an earlier request of its own.
   * @param version Version of the runner software that sent the caller those events; undefined for a new stream.
   * @example
   * const stream = StreamProgress.create(request.resumeAfterEventId, '1.4')
   */
  static create (callerEventId: string | undefined, version?: string): StreamProgress {
    return new StreamProgress(callerEventId, version)
  }

  /** Id of the last event that the caller has, from this request or an earlier one of its own. */
  get lastEventId (): string | undefined {
    return this.eventId
  }

  /** Whether events were forwarded. */
  get hasEvents (): boolean {
    return this.isBegun
  }

  /** Version of the runner software whose events the caller has. */
  get softwareVersion (): string | undefined {
    return this.version
  }

  /** Whether a runner can be told where to go on. */
  get canResume (): boolean {
    return !this.isPositionUnknown
  }

  /** Whether an answer continues the one that has begun: with events, never with another runner's error, whatever its status. */
  canContinueWith (head: HeadEvent): boolean {
    return head.status === OK && head.isEventStream === this.isEventStream
  }

  noteHead (head: HeadEvent): void {
    this.isEventStream = head.isEventStream
  }

  /** Whether a batch of events follows the position of the caller; ids that can't be compared count as following. */
  isNext ({ firstEventId }: DataEvent): boolean {
    const { eventId } = this
    if (firstEventId === undefined || eventId === undefined || !COMPARABLE_ID.test(firstEventId) || !COMPARABLE_ID.test(eventId)) return true
    return Number(firstEventId) > Number(eventId)
  }

  /** Records that events of a runner are being forwarded. */
  noteEvents ({ lastEventId, hasUnnumberedEnd }: DataEvent, runner: Runner): void {
    this.eventId = lastEventId ?? this.eventId
    if (lastEventId !== undefined || hasUnnumberedEnd) this.isPositionUnknown = hasUnnumberedEnd
    this.isBegun = true
    this.version = nameVersion(runner)
  }
}
