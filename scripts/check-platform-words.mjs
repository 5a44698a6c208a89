/** Fails when a product package names a header, path or field that only the platform's adapter may know. */
import { readdirSync, readFileSync, statSync } from 'node:fs'
import { join } from 'node:path'

/** What only `platform/` may name. */
const WORDS = /X-(?:Expect-Instance|Expect-Version|Token-Counts|Prompt-Prefix|Response-Signature|Not-Executed|Server-Load|Deadline-Ms|Request-Priority|Length-Hint|Pin-Ms|Hold|Kv-Backup|Instance-Id)\b|Kv-(?:From|Fetch)|figquay\/(?:order|report|ready|log-|kv-|hold-)|keyed\.(?:op|servers|status)|path-prefix|weights-mb|at-hand|adapter-slots|load-s\b|loads-per-s|slo-ms|timeout-ms|max-attempts|can-resume/i

function listSources (directory) {
  return readdirSync(directory).flatMap((name) => {
    const path = join(directory, name)
    if (name === 'node_modules' || name === 'dist' || name === '__tests__') return []
    if (statSync(path).isDirectory()) return listSources(path)
    return path.endsWith('.ts') ? [path] : []
  })
}

const found = listSources('packages').flatMap((path) => readFileSync(path, 'utf8').split('\n')
  .map((line, index) => ({ line, at: `${path}:${index + 1}` }))
  .filter(({ line }) => WORDS.test(line)))
for (const { line, at } of found) process.stdout.write(`${at}: ${line.trim()}\n`)
process.stdout.write(found.length === 0 ? 'no package names the platform\n' : `${found.length} lines name the platform outside of platform/\n`)
process.exit(found.length === 0 ? 0 : 1)
