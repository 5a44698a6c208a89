/** How the daemons of a small fleet divide the reads of the store. Pure: no clock, no I/O. */
import { hashText } from 'figquay'
import type { StoreTiming } from './FigquayServingStoreTiming.js'

/**
 * How a daemon follows the store. A `reader` long-polls everything and passes it on to its peers. A `looker` long-polls
 * everything except the list of runners, which it gets from the reader and polls rarely; it stands by for the reader. A `listener` gets everything from
 * its peers.
 */
export type StoreRole = 'reader' | 'looker' | 'listener'

/** Number of daemons in a small fleet that read the store: one reader, the others lookers. */
const STORE_READING_DAEMONS = 3

/** How long ago the store was last read, in milliseconds. */
export interface StoreAges {
  /** By another daemon, as the peers report it. */
  readonly reportedAgeMs: number
  /** By this daemon or another one. */
  readonly storeAgeMs: number
}

/**
 * Chooses how a daemon of a small fleet follows the store, by its rank among the daemons that it is connected to. The
 * lookers read in place of a reader whose reads they no longer hear of, one after the other; a listener reads for itself
 * when it hears of no read at all.
 *
 * @example
 * chooseStoreRole('10.0.0.1:80', [], ages, timing) // 'reader': a daemon without peers reads for itself
 */
export function chooseStoreRole (self: string, connected: readonly string[], { reportedAgeMs, storeAgeMs }: StoreAges, timing: StoreTiming): StoreRole {
  const ownHash = hashText(self)
  const rank = connected.filter((peer) => hashText(peer) < ownHash).length
  if (rank === 0) return 'reader'
  if (rank < STORE_READING_DAEMONS) return reportedAgeMs > timing.lookerAgeMs + (rank - 1) * timing.takeoverStaggerMs ? 'reader' : 'looker'
  return storeAgeMs > timing.maxAgeMs ? 'reader' : 'listener'
}
