/** Maps that keep a bounded number of entries. */

/**
 * Sets a key, and deletes the one that was set longest ago when there are more than `maxSize`.
 *
 * @example
 * setBounded(backoffs, runner.id, untilMs, 10_000)
 */
export function setBounded<K, V> (map: Map<K, V>, key: K, value: V, maxSize: number): void {
  map.delete(key)
  map.set(key, value)
  if (map.size > maxSize) map.delete(map.keys().next().value!)
}
