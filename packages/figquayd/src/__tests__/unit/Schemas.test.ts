/** The schemas that editors are given are those by which files are checked. */
import { readFile } from 'node:fs/promises'
import { describe, test } from 'node:test'
import { expect } from 'earl'
import { makeJsonSchema } from 'figquay'
import { deploymentSchema } from 'figquay-contracts'
import { settingsSchema } from 'figquayd'

const PUBLISHED = new URL('../../../../../docs/schemas/', import.meta.url)

async function readPublished (name: string): Promise<unknown> {
  return JSON.parse(await readFile(new URL(`${name}.schema.json`, PUBLISHED), 'utf8'))
}

describe('published schemas', () => {
  test('settings', async () => {
    expect(await readPublished('settings')).toEqual(JSON.parse(JSON.stringify(makeJsonSchema(settingsSchema, 'Settings of figquayd'))))
  })

  test('deployment', async () => {
    expect(await readPublished('deployment')).toEqual(JSON.parse(JSON.stringify(makeJsonSchema(deploymentSchema, 'Deployment of figquay'))))
  })
})
