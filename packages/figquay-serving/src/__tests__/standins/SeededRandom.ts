/** Seeded random numbers for tests that replay loads. */

/**
 * Makes a function that returns random numbers from 0 to 1 (mulberry32).
 *
 * @example
 * const random = makeRandom(7)
 */
export function makeRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state + 0x6D2B79F5) | 0
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}
