/** Result type: failures that are expected in normal operation are returned, not thrown. */

/** Either the value of a success or the error of a failure. */
export type Outcome<T, E> =
  | { readonly ok: true, readonly value: T }
  | { readonly ok: false, readonly error: E }

/**
 * Wraps a value as a success.
 *
 * @example
 * makeSuccess(3) // { ok: true, value: 3 }
 */
export function makeSuccess<T> (value: T): { readonly ok: true, readonly value: T } {
  return { ok: true, value }
}

/**
 * Wraps an error as a failure.
 *
 * @example
 * makeFailure('timeout') // { ok: false, error: 'timeout' }
 */
export function makeFailure<E> (error: E): { readonly ok: false, readonly error: E } {
  return { ok: false, error }
}
