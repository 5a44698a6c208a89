/** Schemas of files that people write, in the form that editors read. */
import { z } from 'zod'

/**
 * Makes the JSON Schema (draft 2020-12) of what a file may hold, defaults left out being allowed.
 *
 * @example
 * makeJsonSchema(settingsSchema, 'Settings of figquayd')
 */
export function makeJsonSchema (schema: z.ZodType, title: string): Record<string, unknown> {
  return { ...z.toJSONSchema(schema, { io: 'input' }), title }
}
