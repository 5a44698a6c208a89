/**
 * Where an adapter is loaded and what makes way for it. Pure: no clock, no I/O.
 *
 * Answers this load pattern: many adapters of one model, each asked for now and then, and fewer places than adapters.
 */

/** A runner that holds the adapter's model. */
export interface AdapterHolder {
  readonly id: string
  /** May be given an adapter order now. */
  readonly isReady: boolean
  /** Adapters of any model that take a place, coming ones included, with the time since each was last used. */
  readonly adapters: ReadonlyArray<{ readonly key: string, readonly idleMs: number }>
  readonly openRequests: number
}

/** Where an adapter goes, and which other one makes way. */
export interface AdapterMove {
  readonly runner: string
  /** `model/adapter` that is unloaded first; undefined when a place is free. */
  readonly evicted: string | undefined
}

/** An adapter that was used less long ago stays, in milliseconds: requests on their way may need it. */
const IN_USE_MS = 1_000

/**
 * Chooses the holder with a free place and the fewest adapters, else the one whose least recently used adapter has
 * been idle longest; undefined when every place is in use.
 *
 * @example
 * planAdapter(holders, 8)
 */
export function planAdapter (holders: readonly AdapterHolder[], places: number): AdapterMove | undefined {
  const ready = holders.filter((holder) => holder.isReady)
  const roomy = ready.filter((holder) => holder.adapters.length < places)
    .sort((a, b) => a.adapters.length - b.adapters.length || a.openRequests - b.openRequests)
  if (roomy.length > 0) return { runner: roomy[0]!.id, evicted: undefined }
  const victims = ready.flatMap((holder) => holder.adapters.map((adapter) => ({ runner: holder.id, ...adapter })))
    .filter((adapter) => adapter.idleMs >= IN_USE_MS)
    .sort((a, b) => b.idleMs - a.idleMs)
  return victims.length === 0 ? undefined : { runner: victims[0]!.runner, evicted: victims[0]!.key }
}
