/** Bundles the daemon for the platform into one file and keeps its compiled code beside it. */
import { execFileSync } from 'node:child_process'
import { rmSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

const ROOT = fileURLToPath(new URL('..', import.meta.url))
/** Optional parts of the broker that are not installed: transports, cachers and tracers that figquay doesn't use. */
const OPTIONAL = ['@opentelemetry/*', 'amqplib', 'avsc', 'dd-trace', 'ioredis', 'kafka-node', 'mqtt', 'nats', 'node-nats-streaming', 'protobufjs', 'redlock', 'rhea-promise', 'thrift']

rmSync(`${ROOT}target/figquay.compiled`, { force: true })
await build({
  absWorkingDir: ROOT,
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/figquay.cjs',
  bundle: true,
  minify: true,
  keepNames: true,
  conditions: ['source'],
  mainFields: ['module', 'main'],
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  external: OPTIONAL,
  logLevel: 'warning'
})
// With the options that deploy/system.toml starts it with: the compiled code is good for these alone.
execFileSync(process.execPath, ['--max-old-space-size=180', 'platform/launch.cjs', 'check', '--settings', 'platform/settings.example.jsonc'], { cwd: ROOT, env: { ...process.env, FIGQUAY_KEEP_COMPILED: '1' }, stdio: ['ignore', 'ignore', 'inherit'] })
