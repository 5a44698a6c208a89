/** Random choices. */

/**
 * Picks some of the items at random, in random order.
 *
 * @example
 * pickRandom(['a', 'b', 'c'], 2) // ['c', 'a']
 */
export function pickRandom<T> (items: readonly T[], count: number): T[] {
  const remaining = [...items]
  return Array.from({ length: Math.min(count, items.length) }, () => remaining.splice(Math.floor(Math.random() * remaining.length), 1)[0]!)
}
