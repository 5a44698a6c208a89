/** Group commit: records that wait together go to the log in one append. */
import { type CallFailure, type Clock, makeFailure, makeSuccess, type Outcome } from 'figquay'
import type { LogService, NewRecord } from './FigquayLogService.js'

interface WaitingRecord {
  readonly record: NewRecord
  readonly resolve: (outcome: Outcome<number, CallFailure>) => void
}

const LINGER_MS = 2
const MOST_RECORDS_PER_APPEND = 200

/** Appends to one stream, one request at a time. */
export class LogAppender {
  private waiting: WaitingRecord[] = []
  private flushing = false
  private appends = 0

  private constructor (private readonly log: LogService, private readonly stream: string, private readonly clock: Clock) {}

  /**
   * @example
   * const appender = LogAppender.create(log, 'claims-0', clock)
   */
  static create (log: LogService, stream: string, clock: Clock): LogAppender {
    return new LogAppender(log, stream, clock)
  }

  /** Requests sent to the log so far. */
  get appendCount (): number {
    return this.appends
  }

  /**
   * Appends one record and returns its offset; `sent: 'maybe'` means that it may stand.
   *
   * @example
   * const offset = await appender.appendRecord({ id: 'claim-1', data })
   */
  appendRecord (record: NewRecord): Promise<Outcome<number, CallFailure>> {
    return new Promise((resolve) => {
      this.waiting.push({ record, resolve })
      if (!this.flushing) this.flushWaiting()
    })
  }

  private async flushWaiting (): Promise<void> {
    this.flushing = true
    await this.clock.waitFor(LINGER_MS)
    while (this.waiting.length > 0) {
      const batch = this.waiting.splice(0, MOST_RECORDS_PER_APPEND)
      this.appends += 1
      const outcome = await this.log.appendRecords(this.stream, batch.map((entry) => entry.record))
      batch.forEach((entry, index) => {
        entry.resolve(outcome.ok ? makeSuccess(outcome.value[index]!) : makeFailure(outcome.error))
      })
    }
    this.flushing = false
  }
}
