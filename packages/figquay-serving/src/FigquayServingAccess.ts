/**
 * Decides whether a request may run, and for which customer, by the configuration that is in force. No clock, no I/O.
 *
 * Handles keys that are added, removed and moved between customers while their requests arrive on open connections, wait for
 * a runner and are retried, at daemons that have the newest configuration and at daemons that only know that it exists.
 */
import { Refusal } from 'figquay'
import type { ConfigurationHolder, Customer, Route } from 'figquay-fleet'

/** What is known of the caller of a request, and of what it asks for. */
export interface AccessQuery {
  readonly route: Route
  /** SHA-256 digest of the caller's key; undefined if it sent none. */
  readonly keyDigest: string | undefined
}

/** A request that may run as long as this version of the configuration is in force. */
export interface GrantedAccess {
  readonly type: 'granted'
  readonly version: number
  /** Undefined where callers need no keys, and for callers of public routes without a known key. */
  readonly customer: Customer | undefined
  /** Whether callers need keys in this version, on this route or others: runners then get neither the key nor a name from the caller. */
  readonly areKeysNeeded: boolean
}

/** A request that may not run, at least not now. */
export interface RefusedAccess {
  readonly type: 'refused'
  readonly version: number
  /** `outdated`: a newer configuration may have the key. */
  readonly reason: 'no-key' | 'unknown-key' | 'outdated'
  readonly refusal: Refusal
}

export type Access = GrantedAccess | RefusedAccess

/** `Retry-After` of a request that only a newer configuration may allow, in milliseconds: most daemons fetch it within this time. */
const OUTDATED_RETRY_AFTER_MS = 500

/**
 * Makes the refusal of a request that a newer configuration may allow.
 *
 * @example
 * makeOutdatedRefusal().status // 503
 */
export function makeOutdatedRefusal (): Refusal {
  return Refusal.create('not_configured', 'a newer configuration has not been loaded yet', { retryAfterMs: OUTDATED_RETRY_AFTER_MS })
}

/**
 * Chooses the priority of a request: its customer's, or else its route's.
 *
 * @example
 * choosePriority(route, customer)
 */
export function choosePriority (route: Route, customer: Customer | undefined): number {
  return customer?.priority ?? route.priority
}

/**
 * Decides whether a request may run.
 *
 * @param isNewest Whether the configuration in force is the newest that is known.
 * @example
 * decideAccess({ route, keyDigest: hashText(key) }, configurations, sync.isNewest)
 */
export function decideAccess ({ route, keyDigest }: AccessQuery, configurations: Pick<ConfigurationHolder, 'current' | 'findCustomer' | 'findRoute'>, isNewest: boolean): Access {
  const { current } = configurations
  if (current === undefined) return { type: 'refused', version: -1, reason: 'outdated', refusal: makeOutdatedRefusal() }
  const { version, customers } = current
  if (customers === undefined) return { type: 'granted', version, customer: undefined, areKeysNeeded: false }
  const customer = keyDigest === undefined ? undefined : configurations.findCustomer(keyDigest)
  // The request may have waited since an older version; what was public then counts no longer.
  const isPublic = (): boolean => (configurations.findRoute(route.host, route.pathPrefix) ?? route).isPublic
  if (customer !== undefined || isPublic()) return { type: 'granted', version, customer, areKeysNeeded: true }
  if (!isNewest) return { type: 'refused', version, reason: 'outdated', refusal: makeOutdatedRefusal() }
  const reason = keyDigest === undefined ? 'no-key' : 'unknown-key'
  return { type: 'refused', version, reason, refusal: Refusal.create('unauthenticated', reason === 'no-key' ? 'the request carries no key' : 'the key is not known') }
}
