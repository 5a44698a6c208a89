/** How the daemons of a small fleet divide the reads of the store. Pure: no clock, no I/O. */
import { hashText } from 'figquay'

/**
 * How a daemon follows the store. A `reader` long-polls everything and passes it on to its peers. A `looker` long-polls
 * everything except the list of runners, which it gets from the reader and polls rarely. A `listener` gets everything from
 * its peers.
 */
export type StoreRole = 'reader' | 'looker' | 'listener'

/** Number of daemons in a small fleet that read the store: one reader, the others lookers. */
const STORE_READING_DAEMONS = 3

/**
 * Chooses how a daemon of a small fleet follows the store, by its rank among the daemons that it is connected to.
 *
 * @example
 * chooseStoreRole('10.0.0.1:80', []) // 'reader': a daemon without peers reads for itself
 */
export function chooseStoreRole (self: string, connected: readonly string[]): StoreRole {
  const ownHash = hashText(self)
  const rank = connected.filter((peer) => hashText(peer) < ownHash).length
  if (rank === 0) return 'reader'
  return rank < STORE_READING_DAEMONS ? 'looker' : 'listener'
}
