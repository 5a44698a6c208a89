#!/usr/bin/env node
/** Measures the marginal costs that the calculations in docs/CAPACITY.md are based on. */
import { binary, command, option, run, string } from 'cmd-ts'
import { Configuration, ConfigurationStateMachine, type ConfigurationChange, type DocumentChange } from 'figquay-contracts'
import { IdempotencyStateMachine } from 'figquay-idempotency'
import { GainPlacement, type PlacementInput } from 'figquay-placement'
import { Caller } from './FigquayMeasureCaller.js'
import { LocalCluster } from './FigquayMeasureCluster.js'
import type { ClusterOptions } from './FigquayMeasureClusterTypes.js'

const SETTLE_MS = 4_000
const WINDOW_MS = 10_000
const FAST_TRANSFER_TIME_SCALE = 0.02
const MIB = 2 ** 20
const GIB = 2 ** 30

/** Mean resource usage of one daemon, and log appends of all daemons. */
interface ControlCost {
  readonly cpuPercent: number
  readonly peerBytesPerSecond: number
  readonly memoryMib: number
  readonly appendsPerSecond: number
}

function wait (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

async function sumMetrics (cluster: LocalCluster) {
  const all = await Promise.all(cluster.daemons.map((daemon) => cluster.readMetrics(daemon)))
  const sum = (name: string): number => all.reduce((total, metrics) => total + (metrics.get(name) ?? 0), 0)
  return { cpu: sum('process_cpu_seconds_total'), bytes: sum('figquay_peer_bytes'), memory: sum('process_resident_memory_bytes'), appends: sum('figquay_log_appends') }
}

/** Measures the resource usage while a workload runs; idle for `WINDOW_MS` by default. */
async function measureWindow (cluster: LocalCluster, runWorkload: () => Promise<void> = () => wait(WINDOW_MS)): Promise<ControlCost> {
  const before = await sumMetrics(cluster)
  const startMs = performance.now()
  await runWorkload()
  const seconds = (performance.now() - startMs) / 1_000
  const after = await sumMetrics(cluster)
  const daemons = cluster.daemons.length
  return {
    cpuPercent: (after.cpu - before.cpu) / seconds / daemons * 100,
    peerBytesPerSecond: (after.bytes - before.bytes) / seconds / daemons,
    memoryMib: after.memory / daemons / MIB,
    appendsPerSecond: (after.appends - before.appends) / seconds
  }
}

async function runWithCluster<T> (options: ClusterOptions, measure: (cluster: LocalCluster) => Promise<T>): Promise<T> {
  const cluster = LocalCluster.create(options)
  try {
    await cluster.start()
    await wait(SETTLE_MS)
    return await measure(cluster)
  } finally {
    await cluster.stop()
  }
}

function printRow (name: string, size: number, cost: ControlCost): void {
  process.stdout.write(`${name.padEnd(24)} ${String(size).padStart(5)}  cpu ${cost.cpuPercent.toFixed(2)}%  peers ${cost.peerBytesPerSecond.toFixed(0)} B/s  memory ${cost.memoryMib.toFixed(0)} MiB  appends ${cost.appendsPerSecond.toFixed(1)}/s\n`)
}

const BASE_OPTIONS: ClusterOptions = { deployment: 'guild', daemons: 2, transferTimeScale: FAST_TRANSFER_TIME_SCALE, size: { runners: 4, serviceUpstreams: 1 }, logLevel: 'warn' }

async function measureDaemons (): Promise<void> {
  for (const daemons of [2, 8, 16, 24]) {
    printRow('idle, by daemons', daemons, await runWithCluster({ ...BASE_OPTIONS, daemons }, (cluster) => measureWindow(cluster)))
  }
}

async function measureRunners (): Promise<void> {
  for (const runners of [4, 32, 128]) {
    printRow('idle, by runners', runners, await runWithCluster({ ...BASE_OPTIONS, size: { runners, serviceUpstreams: 1 }, enginesPerProcess: 40, waitForModels: false }, (cluster) => measureWindow(cluster)))
  }
}

/** Sends completions at a fixed rate through one daemon for `WINDOW_MS`. */
async function sendCompletions (cluster: LocalCluster, requestsPerSecond: number, outputTokens: number): Promise<void> {
  const caller = Caller.create()
  const calls: Array<Promise<unknown>> = []
  const startMs = performance.now()
  for (let index = 0; index < requestsPerSecond * WINDOW_MS / 1_000; index++) {
    const delayMs = startMs + index * 1_000 / requestsPerSecond - performance.now()
    if (delayMs > 0) await wait(delayMs)
    calls.push(caller.complete({ url: cluster.daemons[0]!.callerUrl, key: 'key-workshop-cairo', model: `manual-${index % 14 + 1}`, nonce: `n${index}`, prompt: 'Which part?', outputTokens }))
  }
  await Promise.all(calls)
  caller.close()
}

async function measureTraffic (): Promise<void> {
  await runWithCluster({ ...BASE_OPTIONS, daemons: 1, size: { runners: 6, serviceUpstreams: 1 } }, async (cluster) => {
    for (const [requestsPerSecond, outputTokens] of [[10, 1], [20, 1], [40, 1], [20, 20], [20, 60]] as const) {
      const cost = await measureWindow(cluster, () => sendCompletions(cluster, requestsPerSecond, outputTokens))
      printRow(`${requestsPerSecond} requests/s, tokens`, outputTokens, cost)
    }
  })
}

async function measureHopLatency (): Promise<void> {
  await runWithCluster(BASE_OPTIONS, async (cluster) => {
    const caller = Caller.create()
    const measureFirstTokenTimes = async (url: string, model: string): Promise<number[]> => {
      const times: number[] = []
      for (let index = 0; index < 200; index++) times.push((await caller.complete({ url, key: 'key-workshop-cairo', model, nonce: `h${index}`, prompt: 'Which part?', outputTokens: 1 })).firstTokenMs)
      return times.sort((a, b) => a - b)
    }
    const engines = await Promise.all(cluster.engines.map(async (engine) => ({ engine, state: await (await fetch(`${engine.directUrl}/engine/state`)).json() as { models: Array<{ id: string }> } })))
    const engineWithModel = engines.find(({ state }) => state.models.some((model) => model.id === 'manual-1@v1'))!.engine
    for (const daemon of cluster.daemons) await measureFirstTokenTimes(daemon.callerUrl, 'manual-1')
    const directTimes = await measureFirstTokenTimes(engineWithModel.directUrl, 'manual-1@v1')
    const cellHolder = await cluster.findCellHolder()
    const formatQuantile = (times: readonly number[], quantile: number): string => times[Math.floor(times.length * quantile)]!.toFixed(2)
    process.stdout.write(`first token, 200 sequential calls: direct p50 ${formatQuantile(directTimes, 0.5)} p99 ${formatQuantile(directTimes, 0.99)} ms\n`)
    for (const daemon of cluster.daemons) {
      const daemonTimes = await measureFirstTokenTimes(daemon.callerUrl, 'manual-1')
      process.stdout.write(`  through the ${daemon === cellHolder ? 'daemon that controls the runners' : 'other daemon'} p50 ${formatQuantile(daemonTimes, 0.5)} p99 ${formatQuantile(daemonTimes, 0.99)} ms\n`)
    }
    caller.close()
  })
}

/** Makes the configuration documents of a deployment with many models and customers. */
function makeDocuments (models: number, customers: number): DocumentChange[] {
  const names = Array.from({ length: models }, (_, index) => `model-${index}`)
  return [
    { key: 'pool/p', base: 0, body: { name: 'p', memory: '96GiB', adapterMemory: '6GiB', fencing: 'checked' } },
    ...names.map((name) => ({ key: `model/${name}`, base: 0, body: { name, pool: 'p', version: 'v1', size: '14GiB', adapters: [{ name: 'a', size: '0.25GiB' }] } })),
    ...Array.from({ length: customers }, (_, index) => ({
      key: `contract/c${index}`,
      base: 0,
      body: { customer: `c${index}`, keys: [index.toString(16).padStart(64, '0')], share: 1, limits: { requestsPerSecond: 10, tokensPerSecond: 1000 }, rememberKeysFor: '24h', kinds: [{ name: 'k', type: 'model', models: ['model-*'], priority: 'interactive', firstTokenWithin: '1200ms', answerWithin: '6s' }] }
    }))
  ]
}

function measureConfigurationStateMachine (): void {
  for (const [models, customers] of [[20, 30], [220, 300], [220, 1_000]] as const) {
    const stateMachine = ConfigurationStateMachine.create()
    const documents = makeDocuments(models, customers)
    stateMachine.applyRecord({ offset: 0, at: 0, id: 'first', data: { type: 'change', changeId: 'first', author: 'a', documents } satisfies ConfigurationChange })
    const changeCount = 50
    const startMs = performance.now()
    for (let index = 1; index <= changeCount; index++) {
      const document = documents.at(-1)!
      stateMachine.applyRecord({ offset: index, at: 0, id: `c${index}`, data: { type: 'change', changeId: `c${index}`, author: 'a', documents: [{ ...document, base: index }] } satisfies ConfigurationChange })
    }
    const msPerChange = (performance.now() - startMs) / changeCount
    const accepted = stateMachine.history.filter((verdict) => verdict.verdict === 'accepted').length
    process.stdout.write(`configuration state machine: ${models} models, ${customers} contracts: ${msPerChange.toFixed(2)} ms per change (${accepted} of ${changeCount + 1} accepted), snapshot ${(JSON.stringify(stateMachine.exportState()).length / 1_024).toFixed(0)} KiB\n`)
  }
  const empty = Configuration.create(new Map())
  if (!empty.ok) throw new Error(empty.error)
}

function measureIdempotencyStateMachine (): void {
  for (const keys of [10_000, 50_000, 200_000]) {
    globalThis.gc?.()
    const heapBytesBefore = process.memoryUsage().heapUsed
    const stateMachine = IdempotencyStateMachine.create()
    const startMs = performance.now()
    for (let index = 0; index < keys; index++) {
      const key = index.toString(16).padStart(64, '0')
      stateMachine.applyRecord({ offset: 2 * index, at: index, id: '', data: { type: 'claim', key, claimId: `claim-${index}`, daemon: 'daemon-1/run', fingerprint: key, rememberMs: 86_400_000 } })
      stateMachine.applyRecord({ offset: 2 * index + 1, at: index, id: '', data: { type: 'outcome', key, claimId: `claim-${index}`, result: { execution: 'ran', status: 201, contentType: 'application/json', body: 'e30=' } } })
    }
    const microsecondsPerKey = (performance.now() - startMs) * 1_000 / keys
    globalThis.gc?.()
    process.stdout.write(`idempotency state machine: ${keys} keys: ${microsecondsPerKey.toFixed(1)} µs per key, ${((process.memoryUsage().heapUsed - heapBytesBefore) / keys).toFixed(0)} bytes per key (${stateMachine.size} held)\n`)
  }
}

function measurePlacement (): void {
  for (const [runners, models] of [[6, 20], [32, 110], [64, 220], [128, 220], [320, 220]] as const) {
    const input: PlacementInput = {
      runners: Array.from({ length: runners }, (_, index) => ({
        id: `r${index}`,
        zone: 'z',
        isServing: true,
        isSchedulable: true,
        freeBytes: 20 * GIB,
        replicas: Array.from({ length: 4 }, (_unused, copy) => ({ id: `m${(index * 4 + copy) % models}@v1`, bytes: 14 * GIB, phase: 'ready' as const })),
        modelsWithOpenOrder: new Set<string>(),
        lastMoveAtMs: Number.NEGATIVE_INFINITY
      })),
      models: Array.from({ length: models }, (_, index) => ({ id: `m${index}@v1`, bytes: 14 * GIB, demand: 0.1 + index % 7 * 0.1, workPerRequest: 0.3 })),
      policy: { movePrice: 3, loadsAtOnce: 8, loadsPerSecond: 1, adaptersAtOnce: 60, coolDown: 10_000 },
      nowMs: 1e9,
      loadsLeft: 8
    }
    const policy = GainPlacement.create()
    policy.planMoves(input)
    const rounds = 5
    const roundIntervalMs = 2_000
    const startMs = performance.now()
    for (let index = 0; index < rounds; index++) policy.planMoves({ ...input, nowMs: input.nowMs + (index + 1) * roundIntervalMs })
    process.stdout.write(`placement plan: ${runners} runners, ${models} models: ${((performance.now() - startMs) / rounds).toFixed(2)} ms per round\n`)
  }
}

const MEASUREMENTS: Readonly<Record<string, () => Promise<void> | void>> = {
  fold: measureConfigurationStateMachine,
  claims: measureIdempotencyStateMachine,
  plan: measurePlacement,
  hop: measureHopLatency,
  traffic: measureTraffic,
  daemons: measureDaemons,
  runners: measureRunners
}

const app = command({
  name: 'capacity',
  description: `Measures marginal costs. Parts: ${Object.keys(MEASUREMENTS).join(', ')}`,
  args: { parts: option({ type: string, long: 'parts', defaultValue: () => Object.keys(MEASUREMENTS).join(',') }) },
  handler: async ({ parts }) => {
    for (const part of parts.split(',')) await MEASUREMENTS[part]?.()
  }
})

await run(binary(app), process.argv)
