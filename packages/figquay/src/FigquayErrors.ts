/** Error classes shared by all packages, and the assertion of invariants. */

/** Thrown when an invariant of the code is violated; it is not handled, so the process stops. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError'
}

/**
 * Throws an `InvariantError`, which stops the process, when a condition that the code guarantees is false.
 *
 * @example
 * invariant(offset >= 0, 'offsets are never negative')
 */
export function invariant (condition: unknown, message: string): asserts condition {
  if (!condition) throw new InvariantError(message)
}

/** Whether a request was executed. */
export type Execution = 'not-run' | 'ran' | 'unknown'

/** Machine-readable reason for a refusal. */
export type RefusalCode =
  | 'bad_request'
  | 'unauthenticated'
  | 'forbidden'
  | 'not_found'
  | 'payload_too_large'
  | 'rate_limited'
  | 'overloaded'
  | 'deadline_unreachable'
  | 'model_unavailable'
  | 'draining'
  | 'log_unavailable'
  | 'no_upstream'
  | 'upstream_failed'
  | 'outcome_unknown'
  | 'key_conflict'
  | 'quarantined'
  | 'not_configured'

/** HTTP status of each refusal code. */
const REFUSAL_STATUS: Readonly<Record<RefusalCode, number>> = {
  bad_request: 400,
  unauthenticated: 401,
  forbidden: 403,
  not_found: 404,
  payload_too_large: 413,
  rate_limited: 429,
  overloaded: 503,
  deadline_unreachable: 503,
  model_unavailable: 503,
  draining: 503,
  log_unavailable: 503,
  no_upstream: 503,
  upstream_failed: 502,
  outcome_unknown: 504,
  key_conflict: 422,
  quarantined: 422,
  not_configured: 503
}

/** Options of a refusal. */
export interface RefusalOptions {
  /** Whether the request was executed; `not-run` by default. */
  readonly execution?: Execution
  /** Delay after which a retry may succeed, in milliseconds. */
  readonly retryAfterMs?: number
}

/** Error that ends a request which is not served; it becomes the response to the caller. */
export class Refusal extends Error {
  override readonly name = 'Refusal'
  readonly code: RefusalCode
  readonly status: number
  readonly execution: Execution
  readonly retryAfterMs: number | undefined

  private constructor (code: RefusalCode, message: string, options: RefusalOptions) {
    super(message)
    this.code = code
    this.status = REFUSAL_STATUS[code]
    this.execution = options.execution ?? 'not-run'
    this.retryAfterMs = options.retryAfterMs
  }

  /**
   * @example
   * Refusal.create('overloaded', 'no runner can answer in time', { retryAfterMs: 500 })
   */
  static create (code: RefusalCode, message: string, options: RefusalOptions = {}): Refusal {
    return new Refusal(code, message, options)
  }
}

/**
 * Returns the message of a thrown value of any type.
 *
 * @example
 * describeError(new Error('reset')) // 'reset'
 */
export function describeError (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
