#!/usr/bin/env node
/** Command line of the daemon: runs it, or only checks its settings. */
import { readFile } from 'node:fs/promises'
import { binary, command, option, positional, run, string, optional } from 'cmd-ts'
import { formatProblem, PluginRegistry } from 'figquay'
import { checkEnvironment, Daemon } from './FigquaydDaemon.js'
import { createPlugins, registerBuiltInPlugins, type DaemonPlugins } from './FigquaydPlugins.js'
import { parseSettings, type Settings } from './FigquaydSettings.js'

const EXIT_BAD_SETTINGS = 2

interface CheckedSettings {
  readonly settings: Settings
  readonly plugins: DaemonPlugins
}

/** Prints problems to stderr and exits with the code for invalid settings. */
function exitWithProblems (problems: readonly string[]): never {
  for (const problem of problems) process.stderr.write(`${problem}\n`)
  process.exit(EXIT_BAD_SETTINGS)
}

async function readText (file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8')
  } catch (error) {
    return exitWithProblems([`${file}: ${(error as Error).message}`])
  }
}

/** Reads the settings and creates the plug-ins that they select; exits if anything is invalid, before the daemon starts. */
async function checkSettings (file: string): Promise<CheckedSettings> {
  const settings = parseSettings(await readText(file))
  if (!settings.ok) exitWithProblems(settings.error.map((problem) => formatProblem(file, problem)))
  const registry = PluginRegistry.create()
  registerBuiltInPlugins(registry)
  const plugins = createPlugins(registry, settings.value)
  if (!plugins.ok) exitWithProblems(plugins.error.map((problem) => `${file}: ${problem}`))
  return { settings: settings.value, plugins: plugins.value }
}

async function startDaemon (file: string): Promise<void> {
  checkEnvironment(process.env)
  const { settings, plugins } = await checkSettings(file)
  const daemon = Daemon.create(settings, plugins)
  const stop = (): void => {
    daemon.stop().then(() => process.exit(0))
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  await daemon.start()
}

const app = command({
  name: 'figquayd',
  description: 'Serves models and plain services to callers. "figquayd check" checks the settings without starting the daemon.',
  args: {
    action: positional({ type: optional(string), displayName: 'check' }),
    settings: option({ type: string, long: 'settings', description: 'settings file (JSON with comments)' })
  },
  handler: async ({ action, settings }) => {
    if (action === undefined) return await startDaemon(settings)
    if (action !== 'check') exitWithProblems([`unknown action "${action}"; expected "check" or no action`])
    await checkSettings(settings)
    process.stdout.write(`${settings}: ok\n`)
  }
})

await run(binary(app), process.argv)
