/** Schemas of durations and sizes with units, as written in settings and contracts. */
import { z } from 'zod'

const DURATION_UNITS_MS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000
}

const SIZE_UNITS_BYTES: Readonly<Record<string, number>> = {
  KiB: 2 ** 10,
  MiB: 2 ** 20,
  GiB: 2 ** 30
}

/** Parses `<number><unit>` against a table of units. */
function parseQuantity (text: string, units: Readonly<Record<string, number>>): number | undefined {
  const match = /^(\d+(?:\.\d+)?)([A-Za-z]+)$/.exec(text)
  const factor = match === null ? undefined : units[match[2]!]
  return factor === undefined ? undefined : Number(match![1]) * factor
}

/** Makes a schema that parses a quantity to a number in the base unit. */
function makeQuantitySchema (units: Readonly<Record<string, number>>, expected: string) {
  // The pattern only serves editors that read the published JSON Schema; the transform does the validation.
  const pattern = `^\\d+(\\.\\d+)?(${Object.keys(units).join('|')})$`
  return z.string({ error: `expected ${expected}` }).meta({ pattern, description: expected }).transform((text, context) => {
    const value = parseQuantity(text, units)
    if (value !== undefined) return value
    context.addIssue({ code: 'custom', message: `expected ${expected}` })
    return z.NEVER
  })
}

/** A duration such as `1200ms`, `8s`, `5m`, `24h`; parsed to milliseconds. */
export const durationSchema = makeQuantitySchema(DURATION_UNITS_MS, 'a duration with a unit of ms, s, m, h or d, such as "1200ms"')

/** A size such as `80GiB`; parsed to bytes. */
export const sizeSchema = makeQuantitySchema(SIZE_UNITS_BYTES, 'a size with a unit of KiB, MiB or GiB, such as "16GiB"')
