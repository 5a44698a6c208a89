/** A deployment file is checked as a whole; each problem says where it is and what was expected. */
import { readFile } from 'node:fs/promises'
import { describe, test } from 'node:test'
import { expect } from 'earl'
import { parseDeployment } from 'figquay-contracts'

const EXAMPLES = new URL('../../../../../examples/', import.meta.url)

interface BadEdit {
  readonly name: string
  readonly from: string | RegExp
  readonly to: string
  readonly path: string
  readonly message: RegExp
}

const BAD_EDITS: readonly BadEdit[] = [
  { name: 'unknown key', from: '"share": 4,', to: '"share": 4, "shares": 4,', path: 'contracts.0.shares', message: /unknown key/ },
  { name: 'wrong type', from: '"share": 4,', to: '"share": "4",', path: 'contracts.0.share', message: /number/ },
  { name: 'wrong unit', from: '"firstTokenWithin": "1200ms"', to: '"firstTokenWithin": "1200 parsecs"', path: 'contracts.0.kinds.0.firstTokenWithin', message: /expected a duration with a unit/ },
  { name: 'size without a unit', from: '"memory": "96GiB"', to: '"memory": 96', path: 'pools.0.memory', message: /expected a size/ },
  { name: 'a model in no runner\'s reach', from: '"size": "14GiB"', to: '"size": "140GiB"', path: 'models.0.size', message: /no runner can reach the model/ },
  { name: 'a model of an unknown pool', from: '"name": "manual-1", "pool": "manual-assistant"', to: '"name": "manual-1", "pool": "elsewhere"', path: 'models.0.pool', message: /no pool "elsewhere"/ },
  { name: 'two contracts for one customer', from: '"customer": "wholesale"', to: '"customer": "workshop-cairo"', path: 'contracts.2.customer', message: /stands twice/ },
  { name: 'one key in two contracts', from: /"keys": \["(\w+)"\]([\s\S]*?)"keys": \["\w+"\]/, to: '"keys": ["$1"]$2"keys": ["$1"]', path: 'contracts.1.keys.0', message: /also belongs to "workshop-cairo"/ },
  { name: 'a key of JSON that stands twice', from: '"share": 4,', to: '"share": 4, "share": 5,', path: 'contracts.0.share', message: /stands twice/ },
  { name: 'no JSON', from: '"models": [', to: '"models": [,', path: '', message: /ValueExpected/ }
]

describe('deployment file', () => {
  for (const file of ['guild.jsonc', 'fundacion.jsonc']) {
    test(`${file} is valid`, async () => {
      const outcome = parseDeployment(await readFile(new URL(file, EXAMPLES), 'utf8'))
      expect(outcome.ok ? [] : outcome.error).toEqual([])
    })
  }

  for (const edit of BAD_EDITS) {
    test(edit.name, async () => {
      const text = await readFile(new URL('guild.jsonc', EXAMPLES), 'utf8')
      const edited = text.replace(edit.from, edit.to)
      expect(edited === text).toEqual(false)
      const outcome = parseDeployment(edited)
      expect(outcome.ok).toEqual(false)
      const problem = outcome.ok ? undefined : outcome.error[0]
      expect(problem?.path).toEqual(edit.path)
      expect(edit.message.test(problem?.message ?? '')).toEqual(true)
      // The place is in the edited line, past the comment lines at the top.
      expect((problem?.line ?? 0) > 3).toEqual(true)
      expect((problem?.column ?? 0) > 1).toEqual(true)
    })
  }
})
