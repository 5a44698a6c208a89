/**
 * How long daemons may wait on the store, derived from the time in which a change of it must take effect. Pure: no clock, no I/O.
 *
 * Load pattern: nothing changes for minutes, then one change must reach every daemon in time, although a connection of a
 * daemon that waits for it has been dead without a sign since it was last used.
 */
import { STORE_SILENCE_MS } from 'figquay-fleet'

/** Times within which a change that the store has acknowledged must take effect at every daemon, in milliseconds. */
export interface ChangeBounds {
  /** Until no new request is sent to a runner that is leaving or gone. */
  readonly drainWithinMs: number
  /** Until a configuration is in force. */
  readonly applyWithinMs: number
}

/** How fast daemons tell each other what they have read, in milliseconds. */
export interface FleetSpread {
  /** Until every other daemon has what one daemon has just read. */
  readonly spreadMs: number
}

/** Time limits of one daemon, in milliseconds. */
export interface StoreTiming {
  /** Longest wait of a read of the configuration by the daemon that reads for all. */
  readonly configurationWaitMs: number
  /** The same for the shared records, which daemons also tell each other. */
  readonly sharedWaitMs: number
}

/** A read on a new connection takes this long at most, in milliseconds, while the store works. */
const NEW_CONNECTION_READ_MS = 150
/** Delays of the event loop of a daemon that has a share of a core, in milliseconds. */
const EVENT_LOOP_MARGIN_MS = 300
/** Shortest wait of a read, in milliseconds: below it, the store would be called in proportion to time rather than to change. */
const MIN_WAIT_MS = 500
/** Wait for shared records, as a multiple of the bound: what they hold reaches the daemons by other ways, too. */
const SHARED_WAIT_BOUNDS = 2

/**
 * Computes the time limits. A read on a connection that has gone silent is noticed `STORE_SILENCE_MS` after its wait is
 * over; what it has missed must then be read on a new connection and told to all others within the bound.
 *
 * @example
 * computeStoreTiming({ drainWithinMs: 2_000, applyWithinMs: 2_000 }, { spreadMs: 300 }).configurationWaitMs // 900
 */
export function computeStoreTiming ({ drainWithinMs, applyWithinMs }: ChangeBounds, { spreadMs }: FleetSpread): StoreTiming {
  const boundMs = Math.min(drainWithinMs, applyWithinMs)
  return {
    configurationWaitMs: Math.max(MIN_WAIT_MS, boundMs - STORE_SILENCE_MS - NEW_CONNECTION_READ_MS - spreadMs - EVENT_LOOP_MARGIN_MS),
    sharedWaitMs: boundMs * SHARED_WAIT_BOUNDS
  }
}
