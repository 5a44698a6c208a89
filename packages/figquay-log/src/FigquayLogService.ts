/** Interface to the append-only log that the platform provides. */
import type { CallFailure, Outcome } from 'figquay'

/** One record of a stream. */
export interface LogRecord {
  /** Position in the stream; the first record has offset 0. */
  readonly offset: number
  /** Time of the append by the clock of the log service, in milliseconds since the epoch. */
  readonly at: number
  /** Identifier chosen by the writer. */
  readonly id: string
  readonly data: unknown
}

/** A record to append, before the log assigns an offset. */
export interface NewRecord {
  readonly id: string
  readonly data: unknown
}

/** Result of a read: consecutive records and the bounds of the stream. */
export interface LogPage {
  /** Offset of the oldest record that has not expired. */
  readonly firstOffset: number
  /** Offset of the next record to be appended. */
  readonly endOffset: number
  readonly records: readonly LogRecord[]
}

/** Client of a log service. */
export abstract class LogService {
  /** Appends records in order and returns their offsets. After a failure with `sent: 'maybe'` they may have been appended. */
  abstract appendRecords (stream: string, records: readonly NewRecord[]): Promise<Outcome<readonly number[], CallFailure>>
  /** Reads records from an offset on; a long poll that waits up to `waitMs` for the first record. */
  abstract readPage (stream: string, from: number, waitMs: number, signal?: AbortSignal): Promise<Outcome<LogPage, CallFailure>>
  /** Closes all connections to the log service. */
  abstract close (): void
}
