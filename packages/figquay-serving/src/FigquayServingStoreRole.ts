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
  /** By this daemon itself; infinite if its last read was told by a peer. */
  readonly ownAgeMs: number
}

/**
 * Chooses how a daemon of a small fleet follows the store, by its rank among the daemons that it is connected to. The
 * lookers read in place of a reader whose reads they no longer hear of, one after the other; after them, the listeners take
 * turns in the place of the second looker.
 *
 * @example
 * chooseStoreRole('10.0.0.1:80', [], ages, timing) // 'reader': a daemon without peers reads for itself
 */
export function chooseStoreRole (self: string, connected: readonly string[], ages: StoreAges, timing: StoreTiming): StoreRole {
  const ownHash = hashText(self)
  const rank = connected.filter((peer) => hashText(peer) < ownHash).length
  if (rank === 0) return 'reader'
  const { reportedAgeMs } = ages
  const lastRank = STORE_READING_DAEMONS - 1
  if (rank < lastRank) return reportedAgeMs > timing.lookerAgeMs + (rank - 1) * timing.takeoverStaggerMs ? 'reader' : 'looker'
  if (isOnlyKnownReader(ages, timing)) return 'reader'
  const turn = findTurn(ages.storeAgeMs, connected.length + 1 - lastRank, timing)
  if (turn !== rank - lastRank) return 'listener'
  if (rank > lastRank) return 'reader'
  return reportedAgeMs > timing.lookerAgeMs + (rank - 1) * timing.takeoverStaggerMs ? 'reader' : 'looker'
}

/** Whether a daemon has read the store lately and hears of nobody else that has, so that it goes on. */
export function isOnlyKnownReader ({ ownAgeMs, reportedAgeMs }: StoreAges, { lookerAgeMs }: StoreTiming): boolean {
  return ownAgeMs <= lookerAgeMs && reportedAgeMs > lookerAgeMs
}

/**
 * Finds which of several daemons may read in place of those that should, by the age of the last read: the first one until
 * `standInAgeMs`, then one after the other, each for as long as the others need to hear of its reads. So a store that
 * nobody can read is tried by one of them at a time.
 *
 * @example
 * findTurn(timing.standInAgeMs + 1, 6, timing) // 1
 */
export function findTurn (ageMs: number, count: number, { standInAgeMs, turnMs }: StoreTiming): number {
  if (ageMs <= standInAgeMs) return 0
  // A daemon that has heard of no read yet begins with the first turn.
  return Number.isFinite(ageMs) ? (1 + Math.floor((ageMs - standInAgeMs) / turnMs)) % count : 0
}
