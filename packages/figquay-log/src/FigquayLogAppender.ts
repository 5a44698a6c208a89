/** Group commit: records that are queued at the same time are sent to the log in one append. */
import { type CallFailure, type Clock, makeFailure, makeSuccess, type Outcome } from 'figquay'
import type { LogService, NewRecord } from './FigquayLogService.js'

interface QueuedRecord {
  readonly record: NewRecord
  readonly resolve: (outcome: Outcome<number, CallFailure>) => void
}

/** Delay before an idle appender sends, so that concurrent records share one append. */
const LINGER_MS = 2
const MAX_RECORDS_PER_APPEND = 200

/** Appends records to one stream in batches, with at most one request in flight. */
export class LogAppender {
  private queue: QueuedRecord[] = []
  private isFlushing = false
  private sentAppends = 0

  private constructor (private readonly log: LogService, private readonly stream: string, private readonly clock: Clock) {}

  /**
   * @example
   * const appender = LogAppender.create(log, 'claims-0', clock)
   */
  static create (log: LogService, stream: string, clock: Clock): LogAppender {
    return new LogAppender(log, stream, clock)
  }

  /** Number of append requests sent to the log. */
  get appendCount (): number {
    return this.sentAppends
  }

  /**
   * Appends one record and returns its offset. After a failure with `sent: 'maybe'` the record may have been appended.
   *
   * @example
   * const offset = await appender.appendRecord({ id: 'claim-1', data })
   */
  appendRecord (record: NewRecord): Promise<Outcome<number, CallFailure>> {
    return new Promise((resolve) => {
      this.queue.push({ record, resolve })
      if (!this.isFlushing) this.flushQueue()
    })
  }

  private async flushQueue (): Promise<void> {
    this.isFlushing = true
    await this.clock.waitFor(LINGER_MS)
    while (this.queue.length > 0) {
      const batch = this.queue.splice(0, MAX_RECORDS_PER_APPEND)
      this.sentAppends += 1
      const outcome = await this.log.appendRecords(this.stream, batch.map((entry) => entry.record))
      batch.forEach((entry, index) => {
        entry.resolve(outcome.ok ? makeSuccess(outcome.value[index]!) : makeFailure(outcome.error))
      })
    }
    this.isFlushing = false
  }
}
