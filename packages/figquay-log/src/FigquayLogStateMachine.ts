/** Deterministic state machine over the records of a stream; the same records give the same state on every daemon. */
import type { LogRecord } from './FigquayLogService.js'

/** State derived from the records of a stream up to an offset. */
export abstract class StateMachine {
  /** Applies the next record. Must be deterministic: the result may depend only on the records applied so far. */
  abstract applyRecord (record: LogRecord): void
  /** Exports the state as a JSON value, for snapshots. */
  abstract exportState (): unknown
  /** Replaces the state with an exported one. */
  abstract importState (state: unknown): void
}

/** Data of a record that contains a snapshot. */
export interface SnapshotData {
  readonly type: 'snapshot'
  /** Offset of the last record that is included in the state. */
  readonly covers: number
  /** SHA-256 of the state's JSON text. */
  readonly hash: string
  readonly state: unknown
}

/**
 * Tells whether the data of a record is a snapshot.
 *
 * @example
 * if (isSnapshot(record.data)) stateMachine.importState(record.data.state)
 */
export function isSnapshot (data: unknown): data is SnapshotData {
  return typeof data === 'object' && data !== null && (data as { type?: unknown }).type === 'snapshot'
}
