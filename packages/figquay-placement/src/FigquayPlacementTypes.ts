/** Types shared by the model and adapter placement. */
import type { OrderAction } from 'figquay-upstreams'

/** A completed or failed move, as shown to operators: the load or unload of a model or an adapter. */
export interface MoveRecord {
  /** ISO 8601 time. */
  readonly at: string
  readonly action: OrderAction
  readonly runner: string
  /** Id of the model or adapter. */
  readonly subject: string
  readonly reason: string
  /** Reply of the engine; `unknown` when the order was not sent or its outcome is unknown. */
  readonly result: string
}
