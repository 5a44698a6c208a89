/**
 * Limits the idle time of runner connections that requests may reuse. Pure functions: no clock, no I/O.
 *
 * Covers this load pattern: few requests to each of many runners, which close idle connections without notice. A request
 * sent on such a connection is lost, and whether it ran is unknown: an idempotent request is sent again, any other fails.
 */
import type { RetrySafety } from 'figquay-fleet'

/** Longest idle time of a connection for requests that must not run twice, in milliseconds: a fraction of common idle timeouts. */
const AT_MOST_ONCE_MAX_IDLE_MS = 3_000
/** Longest idle time of a connection for idempotent requests, in milliseconds: below common idle timeouts. */
const IDEMPOTENT_MAX_IDLE_MS = 8_000

/**
 * Chooses the longest idle time of a connection that a request may reuse, in milliseconds.
 *
 * @example
 * chooseMaxIdleMs('at-most-once') < chooseMaxIdleMs('idempotent') // true
 */
export function chooseMaxIdleMs (repeat: RetrySafety): number {
  return repeat === 'idempotent' ? IDEMPOTENT_MAX_IDLE_MS : AT_MOST_ONCE_MAX_IDLE_MS
}
