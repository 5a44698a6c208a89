/** A fold turns the records of a stream into state; the same records give the same state everywhere. */
import type { LogRecord } from './FigquayLogService.js'

/** State that is a function of the records before an offset. */
export abstract class Fold {
  /** Takes in the next record. Must depend on nothing but the records. */
  abstract applyRecord (record: LogRecord): void
  /** The state as JSON, for snapshots. */
  abstract exportState (): unknown
  /** Replaces the state by an exported one. */
  abstract importState (state: unknown): void
}

/** Data of the record that carries a snapshot. */
export interface SnapshotData {
  readonly type: 'snapshot'
  /** Offset of the last record that the state covers. */
  readonly covers: number
  /** SHA-256 of the state's JSON text. */
  readonly hash: string
  readonly state: unknown
}

/**
 * Tells whether a record carries a snapshot.
 *
 * @example
 * if (isSnapshot(record.data)) fold.importState(record.data.state)
 */
export function isSnapshot (data: unknown): data is SnapshotData {
  return typeof data === 'object' && data !== null && (data as { type?: unknown }).type === 'snapshot'
}
