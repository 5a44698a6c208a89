/**
 * Positions in the logs of the platform's store. A restore of the store from an older copy begins a new era, in which
 * offsets are given out again, so an offset identifies a record only together with its era.
 */

/**
 * Era and offset of a record as one number: positions compare by era, then by offset, and the position before a record is
 * one less. In a store that has never been restored, era 0, a position equals its offset.
 */
export type LogPosition = number

/** Nothing of the log has been read. */
export const BEFORE_LOG: LogPosition = -1
/** More records than a topic gets in its lifetime; it leaves room for a hundred thousand eras. */
const OFFSETS_PER_ERA = 2 ** 36

/**
 * Joins an era and an offset; the offset -1 is the position before the first record of the era.
 *
 * @example
 * makeLogPosition(2, 7) > makeLogPosition(1, 90) // true
 */
export function makeLogPosition (era: number, offset: number): LogPosition {
  return era * OFFSETS_PER_ERA + offset
}

/**
 * Returns the era of a position.
 *
 * @example
 * readEra(makeLogPosition(2, 7)) // 2
 */
export function readEra (position: LogPosition): number {
  return Math.floor((position + 1) / OFFSETS_PER_ERA)
}

/**
 * Returns the offset of a position within its era.
 *
 * @example
 * readOffset(makeLogPosition(2, 7)) // 7
 */
export function readOffset (position: LogPosition): number {
  return position - readEra(position) * OFFSETS_PER_ERA
}

/** A position as daemons tell each other: a release that knows no eras reads the offset alone. */
export interface EncodedPosition {
  /** Missing from a daemon that knows no eras. */
  readonly era?: number
  /** Offset within the era. */
  readonly position: number
}

/**
 * Encodes a position for a message.
 *
 * @example
 * encodePosition(makeLogPosition(2, 7)) // { era: 2, position: 7 }
 */
export function encodePosition (position: LogPosition): EncodedPosition {
  return { era: readEra(position), position: readOffset(position) }
}

/**
 * Decodes a position of a message. One without an era is taken for one of the oldest era, so it never moves a daemon ahead
 * of what it has read itself.
 *
 * @example
 * decodePosition({ era: 2, position: 7 }) === makeLogPosition(2, 7)
 */
export function decodePosition ({ era, position }: EncodedPosition): LogPosition {
  return makeLogPosition(Number.isSafeInteger(era) ? era! : 0, position)
}
