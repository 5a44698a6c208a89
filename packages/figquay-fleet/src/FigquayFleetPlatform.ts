/** Interfaces to a platform's store and to its runners; each platform has its own implementation. */
import type { CallFailure, Outcome } from 'figquay'
import type { LogPosition } from './FigquayFleetLogPosition.js'
import type { FleetConfiguration, Holdings, Runner } from './FigquayFleetTypes.js'

/** A change in the runner registry. */
export type RunnerChange =
  | { readonly type: 'announced', readonly runner: Runner, readonly position: LogPosition }
  | { readonly type: 'removed', readonly id: string, readonly position: LogPosition }

/** Result of a read of the runner registry. */
export interface RunnerRegistryUpdate {
  readonly changes: readonly RunnerChange[]
  /** The changes are a full snapshot: runners that they don't name were removed. */
  readonly isComplete: boolean
  /** Position up to which the registry was read. */
  readonly position: LogPosition
}

/** A keyed record that the daemons share. */
export interface SharedRecord {
  readonly key: string
  /** Undefined when the key was deleted. */
  readonly value: string | undefined
  readonly position: LogPosition
}

/** Result of a read of the shared records. */
export interface SharedRecordBatch {
  readonly records: readonly SharedRecord[]
  /** The records are the latest of every key: other keys were deleted, or lost with a restore of the store. */
  readonly isComplete: boolean
  /** Position after the last record. */
  readonly end: LogPosition
}

/** A shared record to write or delete. */
export interface SharedWrite {
  readonly key: string
  /** Undefined to delete the key. */
  readonly value: string | undefined
}

/** Result of a conditional write: `overtaken` when another record was written first. */
export type WriteResult = { readonly type: 'written', readonly position: LogPosition } | { readonly type: 'overtaken' }

/**
 * A read whose answer hasn't begun this long after its wait is over has met a dead connection, in milliseconds; it is
 * repeated on a new one. A store that works answers within a few milliseconds.
 */
export const STORE_SILENCE_MS = 350

/** Called when the store begins to respond to a read: from then on there may be something new that the caller doesn't have yet. */
export type NoteResponse = () => void

/**
 * The platform's store. Reads return what follows the position `after`; `BEFORE_LOG` reads everything, and so does a
 * position of an older era than the store's.
 */
export abstract class FleetStore {
  /** Waits up to `waitMs` for a configuration written after a position; undefined when there is none. */
  abstract readConfiguration (after: LogPosition, waitMs: number, signal: AbortSignal, noteResponse?: NoteResponse): Promise<Outcome<{ readonly configuration: FleetConfiguration | undefined, readonly position: LogPosition }, CallFailure>>
  /** Waits up to `waitMs` for changes in the runner registry. */
  abstract readRunners (after: LogPosition, waitMs: number, signal: AbortSignal, noteResponse?: NoteResponse): Promise<Outcome<RunnerRegistryUpdate, CallFailure>>
  /** Waits up to `waitMs` for changes of the shared records. */
  abstract readShared (after: LogPosition, waitMs: number, signal: AbortSignal, noteResponse?: NoteResponse): Promise<Outcome<SharedRecordBatch, CallFailure>>
  /** Writes a record; if `expectedEnd` is given, only while the records still end there. */
  abstract writeShared (key: string, value: string, expectedEnd: LogPosition | undefined): Promise<Outcome<WriteResult, CallFailure>>
  /** Writes or deletes records in one call, without a condition. */
  abstract writeRecords (records: readonly SharedWrite[]): Promise<Outcome<void, CallFailure>>
  /** Has later calls open new connections, as those that are open may have gone silent; calls in progress continue. */
  abstract renewConnections (): void
  /** Closes connections. */
  abstract close (): void
}

/** An order to a runner to load or unload a model or adapter. */
export interface FleetOrder {
  readonly action: 'load' | 'unload'
  readonly model: string
  /** Undefined when the order concerns the model itself. */
  readonly adapter: string | undefined
  /** The runner executes the order only while this equals its count of accepted orders. */
  readonly expectedSequence: number
  /** Leader that sends the order. */
  readonly holder: string
  /** Fencing token of the leader. */
  readonly fence: number
}

/** A runner's reply to an order. */
export type FleetOrderReply = 'accepted' | 'already-holds' | 'conflict' | 'stale-fence' | 'invalid' | 'other-runner'

/** State that a runner reports on request. */
export interface RunnerState {
  readonly bornMs: number
  readonly isLeaving: boolean
  /** Orders accepted since the runner started. */
  readonly sequence: number
  readonly holdings: Holdings
}

/** Sends orders to runners and reads their state. */
export abstract class RunnerOrderClient {
  abstract readState (runner: Runner): Promise<Outcome<RunnerState, CallFailure>>
  abstract sendOrder (runner: Runner, order: FleetOrder): Promise<Outcome<FleetOrderReply, CallFailure>>
}
