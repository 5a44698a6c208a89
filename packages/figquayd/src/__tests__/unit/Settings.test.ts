/** Validation of settings: each problem is reported with its position and the expected value. */
import { spawnSync } from 'node:child_process'
import { readFile, writeFile, mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { describe, test } from 'node:test'
import { expect } from 'earl'
import { parseSettings } from 'figquayd'

const EXAMPLE = fileURLToPath(new URL('../../../../../examples/daemon.jsonc', import.meta.url))
const PROGRAM = fileURLToPath(new URL('../../main.js', import.meta.url))

interface InvalidEdit {
  readonly name: string
  readonly from: string
  readonly to: string
  readonly path: string
  readonly message: RegExp
}

const INVALID_EDITS: readonly InvalidEdit[] = [
  { name: 'rejects an unknown key', from: '"logLevel"', to: '"loglevel"', path: 'loglevel', message: /unknown key "loglevel"/ },
  { name: 'rejects a wrong type', from: '"claimPartitions": 2', to: '"claimPartitions": "2"', path: 'claimPartitions', message: /number/ },
  { name: 'rejects a duration with a space before its unit', from: '"drainGrace": "3s"', to: '"drainGrace": "3 s"', path: 'drainGrace', message: /expected a duration with a unit/ },
  { name: 'rejects a host name instead of an address', from: '"127.0.0.1:8080"', to: '"localhost:8080"', path: 'listen.callers', message: /expected "ip:port"/ },
  { name: 'rejects a short secret', from: '"replace-this-secret-in-production"', to: '"short"', path: 'peerSecrets.0', message: /at least 16/ }
]

function runCheck (file: string): { readonly status: number | null, readonly output: string } {
  const result = spawnSync(process.execPath, [PROGRAM, 'check', '--settings', file], { encoding: 'utf8' })
  return { status: result.status, output: result.stderr }
}

describe('settings', () => {
  test('accepts the example', async () => {
    expect(parseSettings(await readFile(EXAMPLE, 'utf8')).ok).toEqual(true)
    expect(runCheck(EXAMPLE).status).toEqual(0)
  })

  for (const edit of INVALID_EDITS) {
    test(edit.name, async () => {
      const outcome = parseSettings((await readFile(EXAMPLE, 'utf8')).replace(edit.from, edit.to))
      const problem = outcome.ok ? undefined : outcome.error.find((candidate) => candidate.path === edit.path)
      expect(edit.message.test(problem?.message ?? '')).toEqual(true)
      expect((problem?.line ?? 0) > 2).toEqual(true)
    })
  }

  test('reports the problem with its position and exits with code 2', async () => {
    const file = join(await mkdtemp(join(tmpdir(), 'figquay-settings-')), 'bad.jsonc')
    await writeFile(file, (await readFile(EXAMPLE, 'utf8')).replace('"plugin": "http", "url": "http://127.0.0.1:7101"', '"plugin": "carrier-pigeon", "url": "http://127.0.0.1:7101"'))
    const plugin = runCheck(file)
    expect([plugin.status, plugin.output.includes('there is no roster "carrier-pigeon"; expected one of http')]).toEqual([2, true])
    await writeFile(file, '{ "id": 7 }')
    const type = runCheck(file)
    expect([type.status, type.output.includes('bad.jsonc:1:9: id: ')]).toEqual([2, true])
  })
})
