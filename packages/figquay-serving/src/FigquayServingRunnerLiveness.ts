/** Determines whether a runner process has ended, from a liveness probe and the runner registry. Pure functions: no clock, no I/O. */
import type { LivenessProbeResult } from './FigquayServingTypes.js'

/** Liveness of one incarnation of a runner. */
export type RunnerLiveness =
  | 'lives'
  | 'ended'
  /** It ended after announcing that it was draining, so no request is to blame. */
  | 'left'
  | 'unknown'

/** State of one incarnation of a runner in the registry. */
export type RegistryStatus = 'listed' | 'restarted' | 'gone'

/**
 * Determines the liveness of a runner. Silence alone does not prove that it ended, as the network may be partitioned while
 * the runner works on. Nor does a removed registry entry, as runners keep serving for a while after its removal.
 *
 * @example
 * determineLiveness('silent', 'gone', false) // 'ended'
 */
export function determineLiveness (probeResult: LivenessProbeResult, registryStatus: RegistryStatus, hasLeft: boolean): RunnerLiveness {
  if (probeResult === 'same') return 'lives'
  const hasEnded = probeResult === 'other' || probeResult === 'refused' || registryStatus === 'restarted' || (probeResult === 'silent' && registryStatus === 'gone')
  if (!hasEnded) return 'unknown'
  return hasLeft ? 'left' : 'ended'
}
