#!/usr/bin/env node
/** Entry point of the command-line tool of operators. */
import { readFile, writeFile } from 'node:fs/promises'
import { array, binary, command, flag, multioption, option, optional, positional, restPositionals, run, string, subcommands } from 'cmd-ts'
import { formatBurnRateHtml, formatBurnRateText, formatTable, type BurnRateReport, type StatusReport } from 'figquay-report'
import { applyFile, listChanges } from './FigquayctlApply.js'
import { OperatorClient } from './FigquayctlClient.js'
import { explainLogs, formatExplanation, parseLog } from './FigquayctlExplain.js'
import { EXIT_CODES, exitWith, writeResult } from './FigquayctlOutput.js'
import { formatHistory, formatModels, formatMoves, formatRunners, formatStatus, formatTrace, type MoveView, type RunnerView } from './FigquayctlViews.js'

const connection = {
  url: option({ type: string, long: 'url', env: 'FIGQUAY_URL', defaultValue: () => 'http://127.0.0.1:9090', description: 'operator port of any daemon (FIGQUAY_URL)' }),
  key: option({ type: string, long: 'key', env: 'FIGQUAY_KEY', defaultValue: () => '', description: 'operator key (FIGQUAY_KEY)' }),
  json: flag({ long: 'json', description: 'output for programs' })
}

interface Connection {
  readonly url: string
  readonly key: string
  readonly json: boolean
}

async function callOrExit<T> (options: Connection, method: string, params: unknown = {}): Promise<T> {
  const reply = await OperatorClient.create(options).callMethod<T>(method, params)
  if (!reply.ok) exitWith(EXIT_CODES.failed, reply.error.message)
  return reply.value
}

/** A command that shows the result of one method. */
function makeView<T> (name: string, description: string, method: string, format: (result: T) => string) {
  return command({
    name,
    description,
    args: connection,
    handler: async (options) => {
      const result = await callOrExit<T>(options, method)
      writeResult(options.json, result, () => format(result))
    }
  })
}

const apply = command({
  name: 'apply',
  description: 'Publish a deployment file: what differs from what is in force, as one change',
  args: {
    ...connection,
    file: option({ type: string, long: 'file' }),
    author: option({ type: string, long: 'author', defaultValue: () => process.env['USER'] ?? 'operator' }),
    changeId: option({ type: optional(string), long: 'change-id', description: 'repeat a change whose outcome is not known' })
  },
  handler: async (options) => await applyFile(OperatorClient.create(options), options)
})

const diff = command({
  name: 'diff',
  description: 'Show what a deployment file would change',
  args: { ...connection, file: option({ type: string, long: 'file' }) },
  handler: async (options) => {
    const changes = await listChanges(OperatorClient.create(options), options.file)
    const rows = changes.map((change) => [change.key, change.body === null ? 'remove' : change.base === 0 ? 'add' : 'change', String(change.base)])
    writeResult(options.json, changes, () => rows.length === 0 ? 'nothing to change' : formatTable(['document', 'what', 'version'], rows))
  }
})

async function explainFiles (wanted: string, files: readonly string[], isJson: boolean): Promise<void> {
  const texts = await Promise.all(files.map((file) => readFile(file, 'utf8').catch((error: unknown) => exitWith(EXIT_CODES.usage, String(error)))))
  const logs = texts.map(parseLog)
  const unreadable = logs.reduce((sum, log) => sum + log.unreadable, 0)
  if (unreadable > 0) process.stderr.write(`${unreadable} lines are no log lines\n`)
  const explanation = explainLogs(logs.flatMap(({ lines }) => lines), wanted)
  writeResult(isJson, explanation, () => formatExplanation(explanation))
}

const explain = command({
  name: 'explain',
  description: 'Show why a request went the way it did, from a running daemon or from log files of all daemons',
  args: {
    ...connection,
    request: positional({ type: string, displayName: 'request id or fingerprint' }),
    logs: multioption({ type: array(string), long: 'logs', description: 'log file of a daemon; more may follow' }),
    moreLogs: restPositionals({ type: string, displayName: 'log file' })
  },
  handler: async (options) => {
    if (options.logs.length > 0) return await explainFiles(options.request, [...options.logs, ...options.moreLogs], options.json)
    const events = await callOrExit<Parameters<typeof formatTrace>[0]>(options, 'explain.get', { requestId: options.request })
    writeResult(options.json, events, () => formatTrace(events))
  }
})

const drain = command({
  name: 'drain',
  description: 'Stop the daemon gracefully that --url points at',
  args: connection,
  handler: async (options) => {
    const result = await callOrExit<{ draining: boolean }>(options, 'drain.start')
    writeResult(options.json, result, () => 'draining; it stops once nothing is in flight')
  }
})

const burn = command({
  name: 'burn',
  description: 'Service-level burn by customer and kind of request, over all daemons',
  args: { ...connection, html: option({ type: optional(string), long: 'html', description: 'write a page with plots to this file' }) },
  handler: async (options) => {
    const report = await callOrExit<BurnRateReport>(options, 'burn.report')
    if (options.html !== undefined) await writeFile(options.html, formatBurnRateHtml(report))
    writeResult(options.json, report, () => formatBurnRateText(report))
  }
})

const app = subcommands({
  name: 'figquayctl',
  description: 'Operates figquay. Exit codes: 0 done, 1 failed, 2 wrong file or usage, 3 change rejected, 4 outcome not known.',
  cmds: {
    apply,
    diff,
    explain,
    drain,
    history: makeView<Parameters<typeof formatHistory>[0]>('history', 'Rulings on changes', 'config.history', formatHistory),
    status: makeView<StatusReport>('status', 'Daemons at a glance', 'status.get', formatStatus),
    runners: makeView<RunnerView[]>('runners', 'Runners and what they hold', 'runners.list', formatRunners),
    models: makeView<RunnerView[]>('models', 'Copies of each model', 'runners.list', formatModels),
    moves: makeView<MoveView[]>('moves', 'Moves that the system made, and why', 'moves.list', formatMoves),
    report: subcommands({ name: 'report', description: 'Reports', cmds: { burn } })
  }
})

await run(binary(app), process.argv)
