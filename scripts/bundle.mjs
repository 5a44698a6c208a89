/** Bundles the platform daemon into one file and writes V8's compiled code next to it. */
import { execFileSync } from 'node:child_process'
import { rmSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

const ROOT = fileURLToPath(new URL('..', import.meta.url))
/** Optional dependencies of the service broker that are not installed: transporters, cachers, serializers and tracers that figquay doesn't use. */
const OPTIONAL_MODULES = ['@opentelemetry/*', 'amqplib', 'avsc', 'dd-trace', 'ioredis', 'kafka-node', 'mqtt', 'nats', 'node-nats-streaming', 'protobufjs', 'redlock', 'rhea-promise', 'thrift']

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
  external: OPTIONAL_MODULES,
  logLevel: 'warning'
})
// Compiled code is valid only for the Node.js options that it was made with, so these match deploy/system.toml.
execFileSync(process.execPath, ['--max-old-space-size=180', 'platform/launch.cjs', 'check', '--settings', 'platform/settings.example.jsonc'], { cwd: ROOT, env: { ...process.env, FIGQUAY_KEEP_COMPILED: '1' }, stdio: ['ignore', 'ignore', 'inherit'] })
