/** Formats the results of trials as a table for terminals. */
import { formatTable } from 'figquay-report'
import { findMedian, type TrialResult } from './FigquayMeasureExperiment.js'

const PERCENT_FACTOR = 100

/** Formats the median of the values and, if there are several, their range. */
function formatSpread (values: readonly number[], digits: number): string {
  const spread = values.length > 1 ? ` (${Math.min(...values).toFixed(digits)}-${Math.max(...values).toFixed(digits)})` : ''
  return `${findMedian(values).toFixed(digits)}${spread}`
}

function countModelMoves (result: TrialResult): number {
  return (result.moves['load-model'] ?? 0) + (result.moves['unload-model'] ?? 0)
}

/**
 * Formats results with one row per metric and one column per policy.
 *
 * @example
 * formatTrials(results)
 */
export function formatTrials (results: readonly TrialResult[]): string {
  const policies = [...new Set(results.map((result) => result.options.policy))]
  const metrics: ReadonlyArray<readonly [string, (result: TrialResult) => number, number]> = [
    ['attainment, all requests %', (result) => result.attainment * PERCENT_FACTOR, 1],
    ['attainment, interactive requests %', (result) => result.waitingAttainment * PERCENT_FACTOR, 1],
    ['met per second and accelerator', (result) => result.metPerAccelerator, 3],
    ['model moves', countModelMoves, 0],
    ['adapter moves', (result) => (result.moves['load-adapter'] ?? 0) + (result.moves['unload-adapter'] ?? 0), 0],
    ['first token p50 ms', (result) => result.firstTokenMs.p50, 0],
    ['first token p95 ms', (result) => result.firstTokenMs.p95, 0],
    ['time between tokens p95 ms', (result) => result.tokenGapMs.p95, 0],
    ['refusal p99 ms', (result) => result.refusalMs.p99, 0],
    ['retries', (result) => result.retries, 0],
    ['tokens per second', (result) => result.tokensPerSecond, 0],
    ['log appends per second', (result) => result.appendsPerSecond, 1],
    ['peer bytes per second and daemon', (result) => result.controlBytesPerSecond, 0],
    ['daemon CPU, cores', (result) => result.daemonCpuPart, 3],
    ['daemon memory MiB', (result) => result.daemonMemoryMib, 0],
    ['memory limit violations', (result) => result.violations, 0],
    ['idempotency keys executed twice', (result) => result.doubleRuns, 0],
    ['wrong answers', (result) => Object.values(result.kinds).reduce((sum, counts) => sum + counts.wrong, 0), 0]
  ]
  const kinds = [...new Set(results.flatMap((result) => Object.keys(result.kinds)))]
  const rows = [
    ...metrics.map(([name, read, digits]) => [name, ...policies.map((policy) => formatSpread(filterByPolicy(results, policy).map(read), digits))]),
    ...kinds.map((kind) => [`${kind}: met/refused/late/failed %`, ...policies.map((policy) => formatKindShares(filterByPolicy(results, policy), kind))])
  ]
  return formatTable(['', ...policies], rows)
}

function filterByPolicy (results: readonly TrialResult[], policy: string): TrialResult[] {
  return results.filter((result) => result.options.policy === policy)
}

function formatKindShares (results: readonly TrialResult[], kind: string): string {
  const allCounts = results.flatMap((result) => result.kinds[kind] ?? [])
  const shares = [
    allCounts.map((counts) => counts.met / counts.total),
    allCounts.map((counts) => (counts.refused + counts.limited) / counts.total),
    allCounts.map((counts) => counts.late / counts.total),
    allCounts.map((counts) => counts.failed / counts.total)
  ]
  return shares.map((values) => (findMedian(values) * PERCENT_FACTOR).toFixed(0)).join('/')
}
