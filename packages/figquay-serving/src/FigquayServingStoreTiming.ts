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
  /** Between two messages in which a daemon hears how long ago the store was read. */
  readonly reportIntervalMs: number
}

/** Time limits of one daemon, in milliseconds. */
export interface StoreTiming {
  /** Longest wait of a read of the configuration by the daemon that reads for all. */
  readonly configurationWaitMs: number
  /** The same for the shared records, which daemons also tell each other. */
  readonly sharedWaitMs: number
  /**
   * Longest time between two reads of the list of runners by that daemon: short enough that the age of the last one stays
   * below `lookerAgeMs` at the daemons that hear of it first, and below `standInAgeMs` at all others, while nothing changes.
   */
  readonly runnersIntervalMs: number
  /** Age of the last read that a daemon hears of from which it reads in place of the reader, if it is the first to do so. */
  readonly lookerAgeMs: number
  /** Addition to that age for each daemon that is to do so before this one: until its reads are heard of. */
  readonly takeoverStaggerMs: number
  /** Age of the last read from which daemons that neither read nor stand by read in turn: early enough for the others to have what the first one reads within the bound. */
  readonly standInAgeMs: number
  /** Length of such a turn: until every other daemon has heard of its reads. */
  readonly turnMs: number
  /** Age of the last read from which what a daemon knows may be older than the bound allows. */
  readonly maxAgeMs: number
  /** Age of the last read from which a route that a daemon doesn't know may have been added. */
  readonly maxConfigurationAgeMs: number
  /** Part of the age of the last read of the configuration that isn't reported to other daemons; with the age before, it is the bound. */
  readonly configurationAllowanceMs: number
  /** Time that a daemon which is behind the newest configuration may spend on asking peers before it reads the store. */
  readonly configurationFallbackMs: number
}

/** Interval at which a daemon checks whether it has to read the store, in milliseconds. */
export const ROLE_CHECK_MS = 100
/** Random part of the time after which daemons that are behind read the store, in milliseconds: what the first ones read there, the others get from them. */
export const FALLBACK_JITTER_MS = 500

/** A read on a new connection takes this long at most, in milliseconds, while the store works. */
const NEW_CONNECTION_READ_MS = 150
/** Delays of the event loop of a daemon that has a share of a core, in milliseconds. */
const EVENT_LOOP_MARGIN_MS = 300
/** Shortest wait of a read, in milliseconds: below it, the store would be called in proportion to time rather than to change. */
const MIN_WAIT_MS = 500
/** Wait for shared records, as a multiple of the bound: what they hold reaches the daemons by other ways, too. */
const SHARED_WAIT_BOUNDS = 2

/**
 * Computes the time limits. Whoever reads for the others may be lost to them just after a read that found nothing: each
 * daemon must notice the age of that read, and have read for itself, within the bound; those that take over first, early
 * enough to have told the others by then. A read on a connection that has gone silent is noticed `STORE_SILENCE_MS` after its wait is
 * over; what it has missed must then be read on a new connection and told to all others within the bound.
 *
 * @example
 * computeStoreTiming({ drainWithinMs: 2_000, applyWithinMs: 2_000 }, { spreadMs: 300, reportIntervalMs: 200 }).maxAgeMs // 1_450
 */
export function computeStoreTiming ({ drainWithinMs, applyWithinMs }: ChangeBounds, { spreadMs, reportIntervalMs }: FleetSpread): StoreTiming {
  const boundMs = Math.min(drainWithinMs, applyWithinMs)
  const takeoverMs = ROLE_CHECK_MS + NEW_CONNECTION_READ_MS
  const maxAgeMs = boundMs - takeoverMs - EVENT_LOOP_MARGIN_MS
  // A fleet that is slow at telling has no time for it: there, the daemons that aren't told in time read for themselves.
  const lookerAgeMs = Math.max(maxAgeMs - takeoverMs - spreadMs, MIN_WAIT_MS + NEW_CONNECTION_READ_MS + reportIntervalMs)
  const takeoverStaggerMs = takeoverMs + reportIntervalMs
  const standInAgeMs = Math.max(lookerAgeMs, Math.min(lookerAgeMs + takeoverStaggerMs, boundMs - takeoverMs - spreadMs))
  // At the reader itself; the daemons that hear of it last see it older by the spread.
  const usualAgeMs = Math.max(MIN_WAIT_MS + NEW_CONNECTION_READ_MS, Math.min(lookerAgeMs - reportIntervalMs, standInAgeMs - spreadMs))
  const maxConfigurationAgeMs = Math.min(maxAgeMs, usualAgeMs + spreadMs + EVENT_LOOP_MARGIN_MS)
  const configurationAllowanceMs = applyWithinMs - maxConfigurationAgeMs
  return {
    configurationWaitMs: Math.max(MIN_WAIT_MS, Math.min(
      boundMs - STORE_SILENCE_MS - NEW_CONNECTION_READ_MS - spreadMs - EVENT_LOOP_MARGIN_MS,
      usualAgeMs + configurationAllowanceMs - NEW_CONNECTION_READ_MS
    )),
    sharedWaitMs: boundMs * SHARED_WAIT_BOUNDS,
    runnersIntervalMs: usualAgeMs - NEW_CONNECTION_READ_MS,
    lookerAgeMs,
    takeoverStaggerMs,
    standInAgeMs,
    turnMs: takeoverMs + spreadMs,
    maxAgeMs,
    maxConfigurationAgeMs,
    configurationAllowanceMs,
    configurationFallbackMs: Math.max(0, applyWithinMs - spreadMs - NEW_CONNECTION_READ_MS - EVENT_LOOP_MARGIN_MS - FALLBACK_JITTER_MS)
  }
}
