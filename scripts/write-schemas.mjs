/** Writes the JSON Schemas of settings and deployment files to docs/schemas. Needs a build. */
import { mkdirSync, writeFileSync } from 'node:fs'
import { makeJsonSchema } from 'figquay'
import { deploymentSchema } from 'figquay-contracts'
import { settingsSchema } from 'figquayd'

const SCHEMAS = {
  settings: makeJsonSchema(settingsSchema, 'Settings of figquayd'),
  deployment: makeJsonSchema(deploymentSchema, 'Deployment of figquay')
}

mkdirSync('docs/schemas', { recursive: true })
for (const [name, schema] of Object.entries(SCHEMAS)) {
  writeFileSync(`docs/schemas/${name}.schema.json`, `${JSON.stringify(schema, null, 2)}\n`)
}
