/** What the fleet needs of a platform and of the runners on it; each platform has its implementation. */
import type { CallFailure, Outcome } from 'figquay'
import type { FleetConfiguration, Holdings, Runner } from './FigquayFleetTypes.js'

/** A change in the list of runners. */
export type RunnerChange =
  | { readonly type: 'announced', readonly runner: Runner, readonly position: number }
  | { readonly type: 'removed', readonly id: string, readonly position: number }

/** What was read from the list of runners. */
export interface RunnerReading {
  readonly changes: readonly RunnerChange[]
  /** The changes are the whole list: what they don't name is gone. */
  readonly isComplete: boolean
  /** Position up to which the list has been read. */
  readonly position: number
}

/** One entry of the daemons' own keyed records. */
export interface SharedRecord {
  readonly key: string
  /** Undefined when the key was dropped. */
  readonly value: string | undefined
  readonly position: number
}

/** What was read from the shared records. */
export interface SharedReading {
  readonly records: readonly SharedRecord[]
  /** Position after the last record. */
  readonly end: number
}

/** One entry to be written among the daemons' own records. */
export interface SharedWrite {
  readonly key: string
  /** Undefined to drop the key. */
  readonly value: string | undefined
}

/** How a conditional write went. */
export type WriteResult = { readonly type: 'written', readonly position: number } | { readonly type: 'overtaken' }

/** The platform's store. Reads start after `position`; -1 reads everything. */
export abstract class FleetStore {
  /** Waits up to `waitMs` for a configuration newer than a position; undefined when there is none. */
  abstract readConfiguration (after: number, waitMs: number, signal: AbortSignal): Promise<Outcome<{ readonly configuration: FleetConfiguration | undefined, readonly position: number }, CallFailure>>
  /** Reads changes in the list of runners. */
  abstract readRunners (after: number, waitMs: number, signal: AbortSignal): Promise<Outcome<RunnerReading, CallFailure>>
  /** Reads the daemons' own records. */
  abstract readShared (after: number, waitMs: number, signal: AbortSignal): Promise<Outcome<SharedReading, CallFailure>>
  /** Writes a record, if `end` is still the end of the records when it is given. */
  abstract writeShared (key: string, value: string, end: number | undefined): Promise<Outcome<WriteResult, CallFailure>>
  /** Writes or drops records, all in one call, whatever has been written meanwhile. */
  abstract writeRecords (records: readonly SharedWrite[]): Promise<Outcome<void, CallFailure>>
  /** Closes connections. */
  abstract close (): void
}

/** An order to a runner. */
export interface FleetOrder {
  readonly action: 'load' | 'unload'
  readonly model: string
  /** Undefined when the order is about the model itself. */
  readonly adapter: string | undefined
  /** The runner carries it out only while this is its count of accepted orders. */
  readonly expectedSequence: number
  readonly holder: string
  readonly fence: number
}

/** How a runner answered an order. */
export type FleetOrderReply = 'accepted' | 'already-holds' | 'conflict' | 'stale-fence' | 'invalid' | 'other-runner'

/** What a runner tells of itself when asked. */
export interface RunnerState {
  readonly bornMs: number
  readonly isLeaving: boolean
  /** Orders accepted since the runner's start. */
  readonly sequence: number
  readonly holdings: Holdings
}

/** Sends orders to runners and asks what they hold. */
export abstract class RunnerOrderClient {
  abstract readState (runner: Runner): Promise<Outcome<RunnerState, CallFailure>>
  abstract sendOrder (runner: Runner, order: FleetOrder): Promise<Outcome<FleetOrderReply, CallFailure>>
}
