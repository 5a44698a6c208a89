/** Settings of a daemon: addresses, plug-ins, keys, policies. */
import { z } from 'zod'
import { durationSchema, parseJsonc, type Outcome, type TextProblem } from 'figquay'

const addressSchema = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'expected "ip:port"').transform((text) => {
  const [host, port] = text.split(':')
  return { host: host!, port: Number(port) }
})
const keyHashSchema = z.string().regex(/^[0-9a-f]{64}$/, 'expected the SHA-256 of a key as 64 hexadecimal digits')
const urlSchema = z.url({ protocol: /^https?$/, error: 'expected an http URL' })

/** Schema of the settings file. */
export const settingsSchema = z.strictObject({
  id: z.string().regex(/^[a-z0-9-]+$/, 'expected lower-case letters, digits and hyphens'),
  zone: z.string().min(1),
  listen: z.strictObject({ callers: addressSchema, operators: addressSchema, peers: addressSchema }),
  log: z.strictObject({ plugin: z.string(), url: urlSchema }),
  roster: z.strictObject({ plugin: z.string(), url: urlSchema }),
  engines: z.strictObject({ plugin: z.string() }).default({ plugin: 'http' }),
  services: z.strictObject({ plugin: z.string() }).default({ plugin: 'http' }),
  /** Secrets for authentication between daemons: the first one signs, all are accepted. */
  peerSecrets: z.array(z.string().min(16, 'expected at least 16 characters')).min(1),
  operatorKeys: z.array(keyHashSchema).min(1),
  logLevel: z.enum(['silent', 'error', 'warn', 'info', 'debug']).default('info'),
  /** Number of log streams over which the claims of at-most-once calls are partitioned; must be the same on every daemon. */
  claimPartitions: z.int().min(1).max(256).default(2),
  snapshots: z.strictObject({ every: durationSchema, records: z.int().positive() }).default({ every: 30_000, records: 1_000 }),
  policies: z.strictObject({
    admission: z.string().default('predicted'),
    selector: z.string().default('affinity'),
    placement: z.string().default('gain')
  }).default({ admission: 'predicted', selector: 'affinity', placement: 'gain' }),
  /** Time allowed for the load balancer to see that a draining daemon is not ready. */
  drainGrace: durationSchema.default(3_000)
})

/** Validated settings. */
export type Settings = z.output<typeof settingsSchema>

/**
 * Parses and validates a settings file; each problem is reported with its line and column.
 *
 * @example
 * const outcome = parseSettings(await readFile('daemon-1.jsonc', 'utf8'))
 */
export function parseSettings (text: string): Outcome<Settings, TextProblem[]> {
  return parseJsonc(text, settingsSchema)
}
