#!/usr/bin/env node
/** Demonstration: runs three daemons with stand-ins, sends the traffic of the guild deployment, prints a report and shuts down gracefully. */
import { mkdir, writeFile } from 'node:fs/promises'
import { binary, command, flag, number, option, run } from 'cmd-ts'
import { formatBurnRateHtml, formatBurnRateText, type BurnRateReport } from 'figquay-report'
import { LocalCluster } from './FigquayMeasureCluster.js'
import { OPERATOR_KEY } from './FigquayMeasureClusterSettings.js'
import { LoadRun, type KindCounts, type LoadResult } from './FigquayMeasureLoad.js'
import { makeArrivals } from './FigquayMeasureWorkload.js'

const DAEMON_COUNT = 3
const ANSWER_GRACE_MS = 15_000
const TRANSFER_TIME_SCALE = 0.1
const REPORT_FILE = 'out/burn.html'

interface EngineFactsView {
  readonly violations: readonly string[]
  readonly orders: readonly string[]
}

/** Lists the violated guarantees of a run: memory limits, executions per idempotency key, correct answers and no failures. */
async function listViolations (cluster: LocalCluster, load: LoadResult): Promise<string[]> {
  const engines = await Promise.all(cluster.engines.map((engine) => cluster.readFacts<EngineFactsView>(engine)))
  const services = await Promise.all(cluster.services.map((service) => cluster.readFacts<{ executions: Record<string, number> }>(service)))
  const executionsByKey = new Map<string, number>()
  for (const [key, count] of services.flatMap((fact) => Object.entries(fact.executions))) executionsByKey.set(key, (executionsByKey.get(key) ?? 0) + count)
  const wrong = [...load.kinds.values()].reduce((sum, counts) => sum + counts.wrong, 0)
  const failed = [...load.kinds.values()].reduce((sum, counts) => sum + counts.failed, 0)
  return [
    ...engines.flatMap((fact) => fact.violations.map((violation) => `memory limit exceeded: ${violation}`)),
    ...[...executionsByKey].filter(([, count]) => count > 1).map(([key, count]) => `idempotency key ${key} was executed ${count} times`),
    ...(wrong > 0 ? [`${wrong} answers were incomplete or belonged to another request`] : []),
    ...(failed > 0 ? [`${failed} requests failed`] : [])
  ]
}

function formatCounts (kinds: ReadonlyMap<string, KindCounts>): string {
  const rows = [...kinds].map(([name, counts]) => `  ${name.padEnd(20)} ${String(counts.met).padStart(4)} of ${String(counts.total).padStart(4)} within contract, ${counts.refused + counts.limited} refused, ${counts.late} late, ${counts.failed} failed`)
  return rows.join('\n')
}

/** Formats commands to try against the running demonstration. */
function formatExampleCommands (cluster: LocalCluster): string {
  const [daemon] = cluster.daemons
  return [
    'Running. Try:',
    '',
    `curl -N ${daemon!.callerUrl}/v1/chat/completions -H 'authorization: Bearer key-workshop-cairo' -H 'content-type: application/json' -d '{"model":"manual-1","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Which hinge clamp fits?"}]}'`,
    `curl ${daemon!.callerUrl}/services/ledger/orders -H 'authorization: Bearer key-workshop-cairo' -H 'idempotency-key: order-1' -d '{"item":"hinge"}'`,
    `curl ${daemon!.callerUrl}/v1/models -H 'authorization: Bearer key-workshop-cairo'`,
    '',
    `export FIGQUAY_URL=${daemon!.operatorUrl} FIGQUAY_KEY=${OPERATOR_KEY}`,
    'npx figquayctl status',
    'npx figquayctl models',
    'npx figquayctl moves',
    'npx figquayctl report burn',
    '',
    'Stop with Ctrl-C.'
  ].join('\n')
}

async function writeReport (cluster: LocalCluster): Promise<void> {
  const report = await cluster.callOperator<BurnRateReport>(cluster.daemons[0]!, 'burn.report', {})
  if (report === undefined) return
  await mkdir('out', { recursive: true })
  await writeFile(REPORT_FILE, formatBurnRateHtml(report))
  process.stdout.write(`\n${formatBurnRateText(report)}\n\nburn report with plots: ${REPORT_FILE}\n`)
}

async function waitForInterrupt (): Promise<void> {
  await new Promise<void>((resolve) => {
    process.once('SIGINT', () => resolve())
    process.once('SIGTERM', () => resolve())
  })
}

async function runTraffic (cluster: LocalCluster, seconds: number): Promise<string[]> {
  process.stdout.write(`sending the traffic of the guild deployment for ${seconds} s\n`)
  const arrivals = makeArrivals('guild', { load: 1, durationMs: seconds * 1_000, seed: 1 })
  const load = await LoadRun.create(cluster, 'demo').runArrivals(arrivals, ANSWER_GRACE_MS)
  const allCounts = [...load.kinds.values()]
  const met = allCounts.reduce((sum, counts) => sum + counts.met, 0)
  const total = allCounts.reduce((sum, counts) => sum + counts.total, 0)
  const moves = (await Promise.all(cluster.engines.map((engine) => cluster.readFacts<EngineFactsView>(engine)))).flatMap((fact) => fact.orders).filter((order) => /^(un)?load-model/.test(order)).length
  process.stdout.write(`\n${formatCounts(load.kinds)}\n\nattainment: ${(met / total * 100).toFixed(1)}% of ${total} requests; model moves since the start: ${moves}\n`)
  await writeReport(cluster)
  return await listViolations(cluster, load)
}

async function runDemo (seconds: number, isLeftRunning: boolean): Promise<number> {
  const cluster = LocalCluster.create({ deployment: 'guild', daemons: DAEMON_COUNT, transferTimeScale: TRANSFER_TIME_SCALE })
  try {
    process.stdout.write(`starting ${DAEMON_COUNT} daemons and the stand-ins, and loading 20 models\n`)
    await cluster.start()
    const violations = await runTraffic(cluster, seconds)
    if (isLeftRunning) {
      process.stdout.write(`\n${formatExampleCommands(cluster)}\n`)
      await waitForInterrupt()
    }
    process.stdout.write('\nshutting down gracefully\n')
    const codes = await cluster.stop()
    if (codes.some((code) => code !== 0)) violations.push(`daemons exited with codes ${codes.join(', ')}`)
    for (const line of violations) process.stdout.write(`VIOLATION: ${line}\n`)
    process.stdout.write(violations.length === 0 ? 'no guarantee was violated\n' : '')
    return violations.length === 0 ? 0 : 1
  } catch (error) {
    process.stderr.write(`${String(error)}\n`)
    await cluster.stop()
    return 1
  }
}

const app = command({
  name: 'demo',
  description: 'Demonstrates figquay on this machine',
  args: {
    stay: flag({ long: 'stay', description: 'keep the cluster running and print commands to try' }),
    seconds: option({ type: number, long: 'seconds', defaultValue: () => 20 })
  },
  handler: async ({ stay, seconds }) => {
    process.exitCode = await runDemo(seconds, stay)
  }
})

await run(binary(app), process.argv)
