/** The platform's append-only log as the daemons see it. */
import type { CallFailure, Outcome } from 'figquay'

/** One record of a stream. */
export interface LogRecord {
  /** Position in the stream; the first is 0. */
  readonly offset: number
  /** When the log took it, in milliseconds since the epoch, by the log's clock. */
  readonly at: number
  /** Identifier that the writer chose. */
  readonly id: string
  readonly data: unknown
}

/** A record before the log has given it an offset. */
export interface NewRecord {
  readonly id: string
  readonly data: unknown
}

/** Part of a stream. */
export interface LogPage {
  /** Oldest offset that the log still keeps. */
  readonly firstOffset: number
  /** Offset that the next appended record will get. */
  readonly endOffset: number
  readonly records: readonly LogRecord[]
}

/** Client of a log service. */
export abstract class LogService {
  /** Appends records in order and returns their offsets; `sent: 'maybe'` means that they may stand. */
  abstract appendRecords (stream: string, records: readonly NewRecord[]): Promise<Outcome<readonly number[], CallFailure>>
  /** Reads from an offset, waiting up to `waitMs` for the first record. */
  abstract readPage (stream: string, from: number, waitMs: number, signal?: AbortSignal): Promise<Outcome<LogPage, CallFailure>>
  /** Closes connections. */
  abstract close (): void
}
