/** Validation of deployment files: each problem reports its position, path and cause. */
import { readFile } from 'node:fs/promises'
import { describe, test } from 'node:test'
import { expect } from 'earl'
import { parseDeployment } from 'figquay-contracts'

const EXAMPLES = new URL('../../../../../examples/', import.meta.url)

interface InvalidEdit {
  readonly name: string
  readonly search: string | RegExp
  readonly replacement: string
  readonly path: string
  readonly message: RegExp
}

const INVALID_EDITS: readonly InvalidEdit[] = [
  { name: 'unknown key', search: '"share": 4,', replacement: '"share": 4, "shares": 4,', path: 'contracts.0.shares', message: /unknown key/ },
  { name: 'wrong type', search: '"share": 4,', replacement: '"share": "4",', path: 'contracts.0.share', message: /number/ },
  { name: 'wrong unit', search: '"firstTokenWithin": "1200ms"', replacement: '"firstTokenWithin": "1200 parsecs"', path: 'contracts.0.kinds.0.firstTokenWithin', message: /expected a duration with a unit/ },
  { name: 'size without a unit', search: '"memory": "96GiB"', replacement: '"memory": 96', path: 'pools.0.memory', message: /expected a size/ },
  { name: 'a model too large for its pool', search: '"size": "14GiB"', replacement: '"size": "140GiB"', path: 'models.0.size', message: /the model fits no runner/ },
  { name: 'a model of an unknown pool', search: '"name": "manual-1", "pool": "manual-assistant"', replacement: '"name": "manual-1", "pool": "elsewhere"', path: 'models.0.pool', message: /no pool "elsewhere"/ },
  { name: 'two contracts for one customer', search: '"customer": "wholesale"', replacement: '"customer": "workshop-cairo"', path: 'contracts.2.customer', message: /duplicate "workshop-cairo"; each customer must be unique/ },
  { name: 'one key in two contracts', search: /"keys": \["(\w+)"\]([\s\S]*?)"keys": \["\w+"\]/, replacement: '"keys": ["$1"]$2"keys": ["$1"]', path: 'contracts.1.keys.0', message: /also belongs to "workshop-cairo"/ },
  { name: 'a duplicate JSON key', search: '"share": 4,', replacement: '"share": 4, "share": 5,', path: 'contracts.0.share', message: /duplicate key "share"/ },
  { name: 'invalid JSON', search: '"models": [', replacement: '"models": [,', path: '', message: /ValueExpected/ }
]

describe('deployment file', () => {
  for (const file of ['guild.jsonc', 'fundacion.jsonc']) {
    test(`${file} is valid`, async () => {
      const outcome = parseDeployment(await readFile(new URL(file, EXAMPLES), 'utf8'))
      expect(outcome.ok ? [] : outcome.error).toEqual([])
    })
  }

  for (const edit of INVALID_EDITS) {
    test(edit.name, async () => {
      const text = await readFile(new URL('guild.jsonc', EXAMPLES), 'utf8')
      const edited = text.replace(edit.search, edit.replacement)
      expect(edited === text).toEqual(false)
      const outcome = parseDeployment(edited)
      expect(outcome.ok).toEqual(false)
      const problem = outcome.ok ? undefined : outcome.error[0]
      expect(problem?.path).toEqual(edit.path)
      expect(edit.message.test(problem?.message ?? '')).toEqual(true)
      // The reported position is on the edited line, past the comments at the top of the file.
      expect((problem?.line ?? 0) > 3).toEqual(true)
      expect((problem?.column ?? 0) > 1).toEqual(true)
    })
  }
})
