/**
 * Plans on which runner an adapter is loaded and which one is evicted for it. Pure: no clock, no I/O.
 *
 * It handles this load pattern: a model has many adapters, each requested occasionally, and more than there are slots.
 */

/** A runner that has the adapter's model loaded. */
export interface AdapterCandidate {
  readonly id: string
  /** Whether the runner can take an adapter order now. */
  readonly isReady: boolean
  /** Adapters of any model that occupy a slot, loading ones included, with the time since each was last used. */
  readonly adapters: ReadonlyArray<{ readonly key: string, readonly idleMs: number }>
  readonly openRequests: number
}

/** Where an adapter is loaded, and which other one is evicted first. */
export interface AdapterPlanStep {
  readonly runner: string
  /** `model/adapter` to unload first; undefined if a slot is free. */
  readonly evicted: string | undefined
}

/** An adapter is not evicted within this time of its last use, in milliseconds: requests in flight may need it. */
const RECENT_USE_MS = 1_000

/**
 * Chooses the runner with a free slot and the fewest adapters. If no slot is free, evicts the adapter that was used least
 * recently on any runner; undefined if all were used recently.
 *
 * @example
 * planAdapter(candidates, 8)
 */
export function planAdapter (candidates: readonly AdapterCandidate[], slots: number): AdapterPlanStep | undefined {
  const ready = candidates.filter((candidate) => candidate.isReady)
  const withFreeSlot = ready.filter((candidate) => candidate.adapters.length < slots)
    .sort((a, b) => a.adapters.length - b.adapters.length || a.openRequests - b.openRequests)
  if (withFreeSlot.length > 0) return { runner: withFreeSlot[0]!.id, evicted: undefined }
  const victims = ready.flatMap((candidate) => candidate.adapters.map((adapter) => ({ runner: candidate.id, ...adapter })))
    .filter((adapter) => adapter.idleMs >= RECENT_USE_MS)
    .sort((a, b) => b.idleMs - a.idleMs)
  return victims.length === 0 ? undefined : { runner: victims[0]!.runner, evicted: victims[0]!.key }
}
