#!/usr/bin/env node
/** Entry point of the command-line tool for operators. */
import { readFile, writeFile } from 'node:fs/promises'
import { array, binary, command, flag, multioption, option, optional, positional, restPositionals, run, string, subcommands } from 'cmd-ts'
import { formatBurnRateHtml, formatBurnRateText, formatTable, type BurnRateReport, type StatusReport } from 'figquay-report'
import { applyFile, listChanges } from './FigquayctlApply.js'
import { fetchRunnerSpeeds, OperatorClient } from './FigquayctlClient.js'
import { explainLogs, formatExplanation, parseLog } from './FigquayctlExplain.js'
import { EXIT_CODES, exitWith, writeResult } from './FigquayctlOutput.js'
import { formatHistory, formatModels, formatMoves, formatRunnerSpeeds, formatRunners, formatStatus, formatTrace, type MoveRecord, type RunnerReport } from './FigquayctlViews.js'

const connectionArgs = {
  url: option({ type: string, long: 'url', env: 'FIGQUAY_URL', defaultValue: () => 'http://127.0.0.1:9090', description: 'operator port of any daemon (FIGQUAY_URL)' }),
  key: option({ type: string, long: 'key', env: 'FIGQUAY_KEY', defaultValue: () => '', description: 'operator key (FIGQUAY_KEY)' }),
  json: flag({ long: 'json', description: 'print JSON' })
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

/** Makes a command that calls a method without parameters and prints the result. */
function makeQueryCommand<T> (name: string, description: string, method: string, format: (result: T) => string) {
  return command({
    name,
    description,
    args: connectionArgs,
    handler: async (options) => {
      const result = await callOrExit<T>(options, method)
      writeResult(options.json, result, () => format(result))
    }
  })
}

const apply = command({
  name: 'apply',
  description: 'Publish the differences between a deployment file and the active configuration as one change',
  args: {
    ...connectionArgs,
    file: option({ type: string, long: 'file' }),
    author: option({ type: string, long: 'author', defaultValue: () => process.env['USER'] ?? 'operator' }),
    changeId: option({ type: optional(string), long: 'change-id', description: 'retry a change whose outcome is unknown' })
  },
  handler: async (options) => await applyFile(OperatorClient.create(options), options)
})

const diff = command({
  name: 'diff',
  description: 'Show the changes that applying a deployment file would make',
  args: { ...connectionArgs, file: option({ type: string, long: 'file' }) },
  handler: async (options) => {
    const changes = await listChanges(OperatorClient.create(options), options.file)
    const rows = changes.map((change) => [change.key, change.body === null ? 'remove' : change.base === 0 ? 'add' : 'change', String(change.base)])
    writeResult(options.json, changes, () => rows.length === 0 ? 'no changes' : formatTable(['document', 'what', 'version'], rows))
  }
})

async function explainFiles (target: string, files: readonly string[], isJson: boolean): Promise<void> {
  const texts = await Promise.all(files.map((file) => readFile(file, 'utf8').catch((error: unknown) => exitWith(EXIT_CODES.usage, String(error)))))
  const logs = texts.map(parseLog)
  const unreadable = logs.reduce((sum, log) => sum + log.unreadable, 0)
  if (unreadable > 0) process.stderr.write(`skipped ${unreadable} lines that are not log lines\n`)
  const explanation = explainLogs(logs.flatMap(({ lines }) => lines), target)
  writeResult(isJson, explanation, () => formatExplanation(explanation))
}

const explain = command({
  name: 'explain',
  description: 'Show the decisions made about a request, from running daemons or from the log files of all daemons',
  args: {
    ...connectionArgs,
    request: positional({ type: string, displayName: 'request id or fingerprint' }),
    logs: multioption({ type: array(string), long: 'logs', description: 'log file of a daemon; more files may follow' }),
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
  description: 'Gracefully stop the daemon at --url',
  args: connectionArgs,
  handler: async (options) => {
    const result = await callOrExit<{ draining: boolean }>(options, 'drain.start')
    writeResult(options.json, result, () => 'draining; the daemon stops once no requests are in flight')
  }
})

const burn = command({
  name: 'burn',
  description: 'Error budget burn rates by customer and kind of request, over all daemons',
  args: { ...connectionArgs, html: option({ type: optional(string), long: 'html', description: 'also write an HTML page with plots to this file' }) },
  handler: async (options) => {
    const report = await callOrExit<BurnRateReport>(options, 'burn.report')
    if (options.html !== undefined) await writeFile(options.html, formatBurnRateHtml(report))
    writeResult(options.json, report, () => formatBurnRateText(report))
  }
})

const status = command({
  name: 'status',
  description: 'Show the state of all daemons or, on the users\' platform, the speed, load and limit of each runner',
  args: { ...connectionArgs, metrics: option({ type: optional(string), long: 'metrics', description: 'metrics address of a daemon on the users\' platform, as http://ip:port' }) },
  handler: async (options) => {
    if (options.metrics === undefined) {
      const report = await callOrExit<StatusReport>(options, 'status.get')
      writeResult(options.json, report, () => formatStatus(report))
      return
    }
    const runners = await fetchRunnerSpeeds(options.metrics)
    if (!runners.ok) exitWith(EXIT_CODES.failed, runners.error.message)
    writeResult(options.json, runners.value, () => formatRunnerSpeeds(runners.value))
  }
})

const app = subcommands({
  name: 'figquayctl',
  description: 'Command-line tool for operators of figquay. Exit codes: 0 success, 1 failure, 2 invalid file or usage, 3 change rejected, 4 outcome unknown.',
  cmds: {
    apply,
    diff,
    explain,
    drain,
    history: makeQueryCommand<Parameters<typeof formatHistory>[0]>('history', 'List configuration changes and their verdicts', 'config.history', formatHistory),
    status,
    runners: makeQueryCommand<RunnerReport[]>('runners', 'List runners with their load and loaded models', 'runners.list', formatRunners),
    models: makeQueryCommand<RunnerReport[]>('models', 'List the copies of each model', 'runners.list', formatModels),
    moves: makeQueryCommand<MoveRecord[]>('moves', 'List placement orders to runners, with reasons and results', 'moves.list', formatMoves),
    report: subcommands({ name: 'report', description: 'Reports', cmds: { burn } })
  }
})

await run(binary(app), process.argv)
