/** Shapes shared by the parts that make moves. */
import type { OrderAction } from 'figquay-upstreams'

/** A move that was made, for people. */
export interface MoveRecord {
  readonly at: string
  readonly action: OrderAction
  readonly runner: string
  readonly subject: string
  readonly reason: string
  readonly result: string
}
