/** Fails if a package contains a header, path or field name of the platform; only the adapter in `platform/` may use them. */
import { readdirSync, readFileSync, statSync } from 'node:fs'
import { join } from 'node:path'

/** Names that are allowed in `platform/` only. */
const PLATFORM_NAMES = /X-(?:Expect-Instance|Expect-Version|Token-Counts|Prompt-Prefix|Response-Signature|Not-Executed|Server-Load|Deadline-Ms|Request-Priority|Length-Hint|Pin-Ms|Hold|Kv-Backup|Instance-Id|Api-Key|Tenant)\b|Kv-(?:From|Fetch)|figquay\/(?:order|report|ready|log-|kv-|hold-)|keyed\.(?:op|servers|status)|path-prefix|weights-mb|at-hand|adapter-slots|load-s\b|loads-per-s|slo-ms|timeout-ms|max-attempts|can-resume|api-keys|plain-tokens|rate-per-s/i

function listSources (directory) {
  return readdirSync(directory).flatMap((name) => {
    const path = join(directory, name)
    if (name === 'node_modules' || name === 'dist' || name === '__tests__') return []
    if (statSync(path).isDirectory()) return listSources(path)
    return path.endsWith('.ts') ? [path] : []
  })
}

const matches = listSources('packages').flatMap((path) => readFileSync(path, 'utf8').split('\n')
  .map((line, index) => ({ line, location: `${path}:${index + 1}` }))
  .filter(({ line }) => PLATFORM_NAMES.test(line)))
for (const { line, location } of matches) process.stdout.write(`${location}: ${line.trim()}\n`)
process.stdout.write(matches.length === 0 ? 'no platform-specific names in packages/\n' : `${matches.length} lines with platform-specific names outside of platform/\n`)
process.exit(matches.length === 0 ? 0 : 1)
