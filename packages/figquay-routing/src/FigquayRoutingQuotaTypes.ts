/** Quotas of customers over all daemons: limits, and what daemons and the issuer of leases tell each other. */

/** Rate at which a customer's requests may run, over all daemons together; in tokens or in requests. */
export interface QuotaLimit {
  readonly ratePerSecond: number
  readonly burst: number
}

/** By how much the sum over all daemons may exceed a quota. */
export interface QuotaTolerance {
  /** Length of the sliding window in which the sum is taken, in milliseconds. */
  readonly windowMs: number
  /** Fraction of what the quota allows in a window. */
  readonly fraction: number
  /** What is allowed beyond that, in the unit of the quota. */
  readonly slack: number
}

/** What a daemon tells the issuer about one customer. */
export interface QuotaUse {
  readonly customer: string
  /** Tokens that it holds, unused. */
  readonly held: number
  /** Tokens that it has taken from what it held since its process began. */
  readonly usedTotal: number
  /** Tokens that waiting requests need beyond those held, and the least with which one of them can run; 0 if none waits. */
  readonly shortage: number
  readonly leastShortage: number
  /** Tokens that it would like to hold. */
  readonly wanted: number
  /** Tokens per second that its callers ask for. */
  readonly demand: number
  /** Fraction of the quota that it may use while it reaches no issuer, as granted last; 0 if none was. */
  readonly share: number
}

/** The same on the wire, in the order of its fields; a daemon sends a row only for customers of which it has news. */
export type QuotaRow = readonly [customer: string, held: number, usedTotal: number, shortage: number, leastShortage: number, wanted: number, demand: number, share: number]

/** Digits of a share on the wire. */
const SHARE_DIGITS = 4

/**
 * Encodes what a daemon tells the issuer about a customer; what is held is rounded down, what is needed up.
 *
 * @example
 * encodeQuotaUse(use) // ['desk', 9_250, 120_000, 0, 0, 20_000, 4_100, 0.0105]
 */
export function encodeQuotaUse ({ customer, held, usedTotal, shortage, leastShortage, wanted, demand, share }: QuotaUse): QuotaRow {
  return [customer, held, usedTotal, Math.ceil(shortage), Math.ceil(leastShortage), Math.ceil(wanted), Math.ceil(demand), Number(share.toPrecision(SHARE_DIGITS))]
}

/** Decodes a row; undefined if it is malformed. */
export function decodeQuotaUse (row: unknown): QuotaUse | undefined {
  if (!Array.isArray(row) || typeof row[0] !== 'string' || !row.slice(1).every((value) => Number.isFinite(value))) return undefined
  const [customer, held, usedTotal, shortage, leastShortage, wanted, demand, share] = row as unknown as QuotaRow
  return share === undefined ? undefined : { customer, held, usedTotal, shortage, leastShortage, wanted, demand, share }
}

/** A daemon's request for tokens. */
export interface QuotaRequest {
  readonly from: string
  /** Identifies its process. */
  readonly bootId: string
  /** Increases with each request of the process. */
  readonly serial: number
  readonly uses: readonly QuotaRow[]
}

/** The issuer's answer about one customer. */
export interface QuotaGrant {
  readonly customer: string
  /** Tokens to add to those held. */
  readonly granted: number
  /** Time for which it makes no sense to ask for more, in milliseconds; 0 if all that waits can run. */
  readonly waitMs: number
  /** Fraction of the quota that the daemon may use while it reaches no issuer. */
  readonly share: number
}

/** Fraction of each quota that daemons which reach no issuer may use in equal shares, whatever their callers ask for. */
export const EVEN_FRACTION = 0.4
/** Largest fraction of a quota beyond its equal share that one daemon may use while it reaches no issuer. */
export const MAX_DEMAND_SHARE = 0.1
/** A lease ends this long after the daemon last reached the issuer, in milliseconds: several times what replacing an issuer takes. */
export const LEASE_MS = 10_000
/** The issuer counts a lease for this long after it last heard of the daemon, in milliseconds. */
export const LEASE_COUNTED_MS = 12_000

const MIN_EXCHANGE_MS = 500
/** Interval between two exchanges per daemon, in milliseconds: so that one issuer handles 200 a second in a fleet of any size. */
const EXCHANGE_MS_PER_DAEMON = 5
const SILENT_AFTER_MS = 400
const LOST_AFTER_MS = 700

/** Times of the exchange between daemons and the issuer, in milliseconds. */
export interface QuotaTiming {
  /** Interval between two exchanges of a daemon. */
  readonly exchangeMs: number
  /** The issuer sets a daemon's share aside if it hasn't heard of it for this long. */
  readonly silentMs: number
  /** A daemon uses its share if it hasn't reached the issuer for this long: later than it is set aside. */
  readonly lostMs: number
}

/**
 * Computes the times of the exchange.
 *
 * @example
 * computeQuotaTiming(80).exchangeMs // 500
 * computeQuotaTiming(330).exchangeMs // 1_650
 */
export function computeQuotaTiming (daemonCount: number): QuotaTiming {
  const exchangeMs = Math.max(MIN_EXCHANGE_MS, daemonCount * EXCHANGE_MS_PER_DAEMON)
  return { exchangeMs, silentMs: exchangeMs + SILENT_AFTER_MS, lostMs: exchangeMs + LOST_AFTER_MS }
}

const MS_PER_SECOND = 1_000
/** Fraction of the tolerance that the issuer uses; the rest is for what it can't know, such as leases of its predecessor. */
const USED_TOLERANCE_FRACTION = 0.35

/**
 * Computes how many tokens of a customer may be outstanding at once, with daemons and issuer together: what fits into a window
 * beside the rate.
 *
 * @example
 * computeQuotaCapacity({ ratePerSecond: 100, burst: 100 }, { windowMs: 8_000, fraction: 0.1, slack: 0 }) // 131.5
 */
export function computeQuotaCapacity ({ ratePerSecond, burst }: QuotaLimit, { windowMs, fraction, slack }: QuotaTolerance): number {
  const tolerated = fraction * (ratePerSecond * windowMs / MS_PER_SECOND + burst) + slack
  return Math.max(1, burst + tolerated * USED_TOLERANCE_FRACTION)
}
