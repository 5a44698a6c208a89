/** Tables of trials for people. */
import { formatTable } from 'figquay-report'
import { findMedian, type TrialResult } from './FigquayMeasureExperiment.js'

const PERCENT = 100

/** Median with the lowest and the highest. */
function formatSpread (values: readonly number[], digits: number): string {
  const spread = values.length > 1 ? ` (${Math.min(...values).toFixed(digits)}-${Math.max(...values).toFixed(digits)})` : ''
  return `${findMedian(values).toFixed(digits)}${spread}`
}

function countModelMoves (result: TrialResult): number {
  return (result.moves['load-model'] ?? 0) + (result.moves['unload-model'] ?? 0)
}

/**
 * One line for each figure, one column for each policy.
 *
 * @example
 * formatTrials(results)
 */
export function formatTrials (results: readonly TrialResult[]): string {
  const policies = [...new Set(results.map((result) => result.options.policy))]
  const figures: ReadonlyArray<readonly [string, (result: TrialResult) => number, number]> = [
    ['attained, all %', (result) => result.attainment * PERCENT, 1],
    ['attained, waiting callers %', (result) => result.waitingAttainment * PERCENT, 1],
    ['met per accelerator and second', (result) => result.metPerAccelerator, 3],
    ['model moves', countModelMoves, 0],
    ['adapter moves', (result) => (result.moves['load-adapter'] ?? 0) + (result.moves['unload-adapter'] ?? 0), 0],
    ['first token p50 ms', (result) => result.firstTokenMs.p50, 0],
    ['first token p95 ms', (result) => result.firstTokenMs.p95, 0],
    ['between tokens p95 ms', (result) => result.tokenGapMs.p95, 0],
    ['refusal p99 ms', (result) => result.refusalMs.p99, 0],
    ['retries', (result) => result.retries, 0],
    ['tokens a second', (result) => result.tokensPerSecond, 0],
    ['log appends a second', (result) => result.appendsPerSecond, 1],
    ['peer bytes a second and daemon', (result) => result.controlBytesPerSecond, 0],
    ['daemon CPU, part of a core', (result) => result.daemonCpuPart, 3],
    ['daemon memory MiB', (result) => result.daemonMemoryMib, 0],
    ['memory overcommitted', (result) => result.violations, 0],
    ['keys run twice', (result) => result.doubleRuns, 0],
    ['wrong answers', (result) => Object.values(result.kinds).reduce((sum, tally) => sum + tally.wrong, 0), 0]
  ]
  const kinds = [...new Set(results.flatMap((result) => Object.keys(result.kinds)))]
  const rows = [
    ...figures.map(([name, read, digits]) => [name, ...policies.map((policy) => formatSpread(selectPolicy(results, policy).map(read), digits))]),
    ...kinds.map((kind) => [`${kind}: met/refused/late/failed %`, ...policies.map((policy) => formatKind(selectPolicy(results, policy), kind))])
  ]
  return formatTable(['', ...policies], rows)
}

function selectPolicy (results: readonly TrialResult[], policy: string): TrialResult[] {
  return results.filter((result) => result.options.policy === policy)
}

function formatKind (results: readonly TrialResult[], kind: string): string {
  const tallies = results.flatMap((result) => result.kinds[kind] ?? [])
  const parts = [
    tallies.map((tally) => tally.met / tally.total),
    tallies.map((tally) => (tally.refused + tally.limited) / tally.total),
    tallies.map((tally) => tally.late / tally.total),
    tallies.map((tally) => tally.failed / tally.total)
  ]
  return parts.map((values) => (findMedian(values) * PERCENT).toFixed(0)).join('/')
}
