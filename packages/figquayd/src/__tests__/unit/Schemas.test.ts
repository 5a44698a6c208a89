/** Guards against published JSON Schemas, which editors use, that differ from the schemas that files are validated against. */
import { readFile } from 'node:fs/promises'
import { describe, test } from 'node:test'
import { expect } from 'earl'
import { makeJsonSchema } from 'figquay'
import { deploymentSchema } from 'figquay-contracts'
import { settingsSchema } from 'figquayd'

const PUBLISHED_SCHEMAS_URL = new URL('../../../../../docs/schemas/', import.meta.url)

async function readPublishedSchema (name: string): Promise<unknown> {
  return JSON.parse(await readFile(new URL(`${name}.schema.json`, PUBLISHED_SCHEMAS_URL), 'utf8'))
}

describe('published schemas', () => {
  test('settings', async () => {
    expect(await readPublishedSchema('settings')).toEqual(JSON.parse(JSON.stringify(makeJsonSchema(settingsSchema, 'Settings of figquayd'))))
  })

  test('deployment', async () => {
    expect(await readPublishedSchema('deployment')).toEqual(JSON.parse(JSON.stringify(makeJsonSchema(deploymentSchema, 'Deployment of figquay'))))
  })
})
