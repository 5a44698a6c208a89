/** JSON Schemas of hand-written files, for validation and completion in editors. */
import { z } from 'zod'

/**
 * Converts a schema to the JSON Schema (draft 2020-12) of its input, in which fields with defaults are optional.
 *
 * @example
 * makeJsonSchema(settingsSchema, 'Settings of figquayd')
 */
export function makeJsonSchema (schema: z.ZodType, title: string): Record<string, unknown> {
  return { ...z.toJSONSchema(schema, { io: 'input' }), title }
}
