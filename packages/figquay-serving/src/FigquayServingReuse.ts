/**
 * How long a connection to a runner may have been idle for a request to go out on it. Pure: no clock, no I/O.
 *
 * Answers this pattern: few requests to each of many runners, which close idle connections without notice. What is sent
 * on such a connection is lost, and whether it ran isn't known: a request that may run twice is sent again, any other fails.
 */
import type { RepeatClass } from 'figquay-fleet'

/** A request that must not run twice goes out only on a connection heard from this lately, in milliseconds: a fraction of the usual idle timeouts. */
const FRESH_MS = 3_000
/** Any other may use a connection that was idle for longer, in milliseconds: below the usual idle timeouts. */
const REUSABLE_MS = 8_000

/**
 * Longest idle time of a connection for a request, in milliseconds.
 *
 * @example
 * chooseMostIdle('at-most-once') < chooseMostIdle('idempotent') // true
 */
export function chooseMostIdle (repeat: RepeatClass): number {
  return repeat === 'idempotent' ? REUSABLE_MS : FRESH_MS
}
