#!/usr/bin/env node
/** Entry point of the daemon. */
import { readFile } from 'node:fs/promises'
import { binary, command, option, positional, run, string, optional } from 'cmd-ts'
import { formatProblem, PluginRegistry } from 'figquay'
import { checkEnvironment, Daemon } from './FigquaydDaemon.js'
import { choosePlugins, registerBuiltInPlugins, type ChosenPlugins } from './FigquaydPlugins.js'
import { parseSettings, type Settings } from './FigquaydSettings.js'

const EXIT_BAD_SETTINGS = 2

interface CheckedStart {
  readonly settings: Settings
  readonly plugins: ChosenPlugins
}

/** Writes problems and ends the process with the exit code for bad settings. */
function failSettings (problems: readonly string[]): never {
  for (const problem of problems) process.stderr.write(`${problem}\n`)
  process.exit(EXIT_BAD_SETTINGS)
}

async function readText (file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8')
  } catch (error) {
    return failSettings([`${file}: ${(error as Error).message}`])
  }
}

/** Checks settings as a whole; nothing is started when anything is wrong. */
async function checkSettings (file: string): Promise<CheckedStart> {
  const settings = parseSettings(await readText(file))
  if (!settings.ok) failSettings(settings.error.map((problem) => formatProblem(file, problem)))
  const registry = PluginRegistry.create()
  registerBuiltInPlugins(registry)
  const plugins = choosePlugins(registry, settings.value)
  if (!plugins.ok) failSettings(plugins.error.map((problem) => `${file}: ${problem}`))
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
  description: 'Serves models and plain services to callers. "figquayd check" checks settings and starts nothing.',
  args: {
    action: positional({ type: optional(string), displayName: 'check' }),
    settings: option({ type: string, long: 'settings', description: 'settings file (JSON with comments)' })
  },
  handler: async ({ action, settings }) => {
    if (action === undefined) return await startDaemon(settings)
    if (action !== 'check') failSettings([`unknown action "${action}"; expected check or none`])
    await checkSettings(settings)
    process.stdout.write(`${settings}: ok\n`)
  }
})

await run(binary(app), process.argv)
