/** Runs a trial: a set of policies under the load of one seed. Trials of other policies on the same seed can be compared in pairs. */
import { LocalCluster } from './FigquayMeasureCluster.js'
import { DEPLOYMENTS, type DeploymentName } from './FigquayMeasureDeployments.js'
import { LoadRun, type KindCounts, type LoadResult } from './FigquayMeasureLoad.js'
import { makeArrivals } from './FigquayMeasureWorkload.js'

/** Names of the policies that a daemon uses. */
export interface PolicySet {
  readonly admission: string
  readonly selector: string
  readonly placement: string
}

/** The default policies (`figquay`), naive baselines, and the default with a single policy replaced by its baseline. */
export const POLICIES: Readonly<Record<string, PolicySet>> = {
  figquay: { admission: 'predicted', selector: 'affinity', placement: 'gain' },
  'naive-round-robin': { admission: 'open', selector: 'round-robin', placement: 'recent-use' },
  'naive-least-reported': { admission: 'open', selector: 'least-reported', placement: 'recent-use' },
  'naive-threshold': { admission: 'open', selector: 'least-reported', placement: 'threshold' },
  'open-admission': { admission: 'open', selector: 'affinity', placement: 'gain' },
  'reported-selector': { admission: 'predicted', selector: 'least-reported', placement: 'gain' },
  'recent-use-placement': { admission: 'predicted', selector: 'affinity', placement: 'recent-use' },
  'threshold-placement': { admission: 'predicted', selector: 'affinity', placement: 'threshold' }
}

/** Faults that a trial can inject. */
export type TrialFault = 'none' | 'capacity-loss'

/** Options of a trial. */
export interface TrialOptions {
  readonly deployment: DeploymentName
  readonly policy: string
  readonly seed: number
  readonly durationMs: number
  /** Factor on the rates of all traffic. */
  readonly load: number
  readonly daemons: number
  /** Number of runners; undefined for that of the deployment. */
  readonly runners: number | undefined
  readonly fault: TrialFault
}

/** Number of executed moves (loads and unloads of models and adapters), by action. */
export type MoveCounts = Readonly<Record<string, number>>

/** Result of a trial. */
export interface TrialResult {
  readonly options: TrialOptions
  readonly kinds: Readonly<Record<string, KindCounts>>
  /** Fraction of all requests that were answered within contract. */
  readonly attainment: number
  /** Fraction of the interactive requests, that is all but the batch kinds, that were answered within contract. */
  readonly waitingAttainment: number
  /** Requests answered within contract, per second and accelerator. */
  readonly metPerAccelerator: number
  readonly moves: MoveCounts
  readonly firstTokenMs: { readonly p50: number, readonly p95: number, readonly p99: number }
  readonly tokenGapMs: { readonly p50: number, readonly p95: number }
  readonly refusalMs: { readonly p50: number, readonly p99: number }
  readonly retries: number
  readonly appendsPerSecond: number
  readonly controlBytesPerSecond: number
  /** Mean CPU usage of a daemon, as a fraction of one core. */
  readonly daemonCpuPart: number
  readonly daemonMemoryMib: number
  /** How often engines would have exceeded their memory. */
  readonly violations: number
  /** Idempotency keys whose request was executed more than once. */
  readonly doubleRuns: number
  readonly tokensPerSecond: number
}

const SETTLE_MS = 2_000
const ANSWER_GRACE_MS = 20_000
const FAST_TRANSFER_TIME_SCALE = 0.02
const ENGINE_RESTART_MS = 25_000
const MIB = 2 ** 20
const BATCH_KINDS: ReadonlySet<string> = new Set(['overnight', 'overnight-plan'])

interface EngineFactsView {
  readonly violations: readonly string[]
  readonly orders: readonly string[]
}

interface MetricSums {
  readonly retries: number
  readonly appends: number
  readonly peerBytes: number
  readonly cpuSeconds: number
  readonly memoryBytes: number
}

async function sumMetrics (cluster: LocalCluster): Promise<MetricSums> {
  const all = await Promise.all(cluster.daemons.map((daemon) => cluster.readMetrics(daemon)))
  const sum = (name: string): number => all.reduce((total, metrics) => total + (metrics.get(name) ?? 0), 0)
  return {
    retries: sum('figquay_retries_total'),
    appends: sum('figquay_log_appends'),
    peerBytes: sum('figquay_peer_bytes'),
    cpuSeconds: sum('process_cpu_seconds_total'),
    memoryBytes: sum('process_resident_memory_bytes')
  }
}

async function countMoves (cluster: LocalCluster): Promise<{ readonly moves: Record<string, number>, readonly violations: number }> {
  const facts = await Promise.all(cluster.engines.map((engine) => cluster.readFacts<EngineFactsView>(engine)))
  const moves: Record<string, number> = {}
  for (const order of facts.flatMap((fact) => fact.orders)) {
    const action = order.split(' ')[0]!
    if (action !== 'install-fence') moves[action] = (moves[action] ?? 0) + 1
  }
  return { moves, violations: facts.reduce((sum, fact) => sum + fact.violations.length, 0) }
}

async function countDuplicateExecutions (cluster: LocalCluster): Promise<number> {
  const facts = await Promise.all(cluster.services.map((service) => cluster.readFacts<{ executions: Record<string, number> }>(service)))
  const executionsByKey = new Map<string, number>()
  for (const [key, count] of facts.flatMap((fact) => Object.entries(fact.executions))) executionsByKey.set(key, (executionsByKey.get(key) ?? 0) + count)
  return [...executionsByKey.values()].filter((count) => count > 1).length
}

/** Crashes a third of the engines at the same time, after a third of the run; they restart without models. */
async function injectCapacityLoss (cluster: LocalCluster, durationMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, durationMs / 3))
  const crashedEngines = cluster.engines.slice(0, Math.round(cluster.engines.length / 3))
  await Promise.all(crashedEngines.map((engine) => cluster.controlUpstream(engine, { crash: true })))
}

function sumCounts (kinds: ReadonlyMap<string, KindCounts>, isCounted: (name: string) => boolean): { readonly met: number, readonly total: number } {
  const counted = [...kinds].filter(([name]) => isCounted(name)).map(([, counts]) => counts)
  return { met: counted.reduce((sum, counts) => sum + counts.met, 0), total: counted.reduce((sum, counts) => sum + counts.total, 0) }
}

function makeTrialResult (options: TrialOptions, load: LoadResult, otherResults: Pick<TrialResult, 'moves' | 'retries' | 'appendsPerSecond' | 'controlBytesPerSecond' | 'daemonCpuPart' | 'daemonMemoryMib' | 'violations' | 'doubleRuns'>): TrialResult {
  const all = sumCounts(load.kinds, () => true)
  const interactive = sumCounts(load.kinds, (name) => !BATCH_KINDS.has(name))
  const seconds = options.durationMs / 1_000
  return {
    options,
    kinds: Object.fromEntries(load.kinds),
    attainment: all.met / Math.max(1, all.total),
    waitingAttainment: interactive.met / Math.max(1, interactive.total),
    metPerAccelerator: all.met / seconds / (options.runners ?? DEPLOYMENTS[options.deployment].runners),
    firstTokenMs: { p50: load.firstTokenMs.getValueAtPercentile(50), p95: load.firstTokenMs.getValueAtPercentile(95), p99: load.firstTokenMs.getValueAtPercentile(99) },
    tokenGapMs: { p50: load.tokenGapMs.getValueAtPercentile(50), p95: load.tokenGapMs.getValueAtPercentile(95) },
    refusalMs: { p50: load.refusalMs.getValueAtPercentile(50), p99: load.refusalMs.getValueAtPercentile(99) },
    tokensPerSecond: load.outputTokens / seconds,
    ...otherResults
  }
}

/**
 * Starts a cluster, runs one trial on it and stops it.
 *
 * @example
 * const result = await runTrial({ deployment: 'guild', policy: 'figquay', seed: 1, durationMs: 60_000, load: 1, daemons: 8, runners: undefined, fault: 'none' })
 */
export async function runTrial (options: TrialOptions): Promise<TrialResult> {
  const policies = POLICIES[options.policy]
  if (policies === undefined) throw new Error(`unknown policy "${options.policy}"; expected one of ${Object.keys(POLICIES).join(', ')}`)
  // All policies start with every model loaded: the gain policy loads them without traffic, the others need warm-up requests.
  const cluster = LocalCluster.create({ deployment: options.deployment, daemons: options.daemons, ...(options.runners === undefined ? {} : { size: { runners: options.runners } }), transferTimeScale: FAST_TRANSFER_TIME_SCALE, policies, restartMs: ENGINE_RESTART_MS, logLevel: 'warn', waitForModels: policies.placement === 'gain' })
  try {
    await cluster.start()
    if (policies.placement !== 'gain') await warmUpModels(cluster, options)
    await cluster.setTransferTimeScale(1)
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS))
    return await measureCluster(cluster, options)
  } finally {
    await cluster.stop()
  }
}

/** Sends requests for every model until all are loaded or 40 rounds are over; for policies that load on demand only. */
async function warmUpModels (cluster: LocalCluster, options: TrialOptions): Promise<void> {
  const arrivals = makeArrivals(options.deployment, { load: 1, durationMs: 1_000, seed: 0 })
  const modelTraffic = [...new Map(arrivals.filter((arrival) => arrival.traffic.target.type === 'model').map((arrival) => [arrival.traffic.name, arrival.traffic])).values()]
  for (let round = 0; round < 40 && !await cluster.isEveryModelLoaded(); round++) {
    const warmUpArrivals = modelTraffic.flatMap((traffic) => traffic.target.type === 'model' ? traffic.target.models.map((model, index) => ({ atMs: index * 10, traffic: { ...traffic, target: { ...traffic.target, promptTokens: 100, outputTokens: 1 } as typeof traffic.target }, model, index })) : [])
    await LoadRun.create(cluster, `warm-${round}`).runArrivals(warmUpArrivals, 500)
  }
}

async function measureCluster (cluster: LocalCluster, options: TrialOptions): Promise<TrialResult> {
  const arrivals = makeArrivals(options.deployment, options)
  const before = await sumMetrics(cluster)
  const movesBefore = await countMoves(cluster)
  const startedAtMs = performance.now()
  const faultInjection = options.fault === 'capacity-loss' ? injectCapacityLoss(cluster, options.durationMs) : Promise.resolve()
  const load = await LoadRun.create(cluster, `s${options.seed}`).runArrivals(arrivals, ANSWER_GRACE_MS)
  await faultInjection
  const seconds = (performance.now() - startedAtMs) / 1_000
  const after = await sumMetrics(cluster)
  const movesAfter = await countMoves(cluster)
  const moves = Object.fromEntries(Object.entries(movesAfter.moves).map(([action, count]) => [action, count - (movesBefore.moves[action] ?? 0)]))
  return makeTrialResult(options, load, {
    moves,
    violations: movesAfter.violations,
    doubleRuns: await countDuplicateExecutions(cluster),
    retries: after.retries - before.retries,
    appendsPerSecond: (after.appends - before.appends) / seconds,
    controlBytesPerSecond: (after.peerBytes - before.peerBytes) / seconds / options.daemons,
    daemonCpuPart: (after.cpuSeconds - before.cpuSeconds) / seconds / options.daemons,
    daemonMemoryMib: after.memoryBytes / options.daemons / MIB
  })
}

/** Finds the median of a list of numbers. */
export function findMedian (values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b)
  const middle = sorted.length / 2
  return sorted.length % 2 === 1 ? sorted[Math.floor(middle)]! : (sorted[middle - 1]! + sorted[middle]!) / 2
}
