/** Tells from log files how a request, or all that have one fingerprint, went over all daemons. */

/** One line of a daemon's log. */
export interface LogLine {
  /** By the clock of the VM that wrote it, in milliseconds. */
  readonly atMs: number
  readonly origin: string
  readonly message: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** A line that concerns what is explained, in the time of the reference daemon. */
export interface ExplainedLine extends LogLine {
  readonly correctedMs: number
}

/** What the logs tell. */
export interface Explanation {
  readonly lines: readonly ExplainedLine[]
  /** How far each daemon's clock is ahead of the first one's, in milliseconds; undefined where nothing shows it. */
  readonly clocks: ReadonlyArray<readonly [origin: string, aheadMs: number | undefined]>
  /** The last decision, with what led to it. */
  readonly cause: string
}

/** Questions to a runner belong to an attempt that failed so long before them at most, in milliseconds. */
const QUESTION_MS = 10_000
/** What daemons write of ends of runners, sure or not. */
const END_MESSAGES: ReadonlySet<string> = new Set(['runner ended under requests', 'runner may have ended under requests'])
const HELD_FIELDS: ReadonlySet<string> = new Set(['time', 'level', 'origin', 'message'])

/**
 * Parses a log; lines that are no JSON, such as a crash's last words, are left out and counted.
 *
 * @example
 * const { lines, unreadable } = parseLog(await readFile('daemon-1.log', 'utf8'))
 */
export function parseLog (text: string): { readonly lines: LogLine[], readonly unreadable: number } {
  const lines: LogLine[] = []
  let unreadable = 0
  for (const row of text.split('\n').filter((line) => line.trim() !== '')) {
    const line = parseLine(row)
    if (line === undefined) unreadable += 1
    else lines.push(line)
  }
  return { lines, unreadable }
}

function parseLine (row: string): LogLine | undefined {
  try {
    const value = JSON.parse(row.slice(Math.max(0, row.indexOf('{')))) as Record<string, unknown>
    const { time, origin, message } = value
    if (typeof time !== 'string' || typeof origin !== 'string' || typeof message !== 'string') return undefined
    return { atMs: Date.parse(time), origin, message, fields: Object.fromEntries(Object.entries(value).filter(([name]) => !HELD_FIELDS.has(name))) }
  } catch {
    // Counted by the caller.
    return undefined
  }
}

/**
 * Explains a request by its id, or all requests with a fingerprint.
 *
 * @example
 * explainLogs(lines, '9c41d07be2a35f68').cause // 'refused: upstream_failed, the request has crashed runners'
 */
export function explainLogs (lines: readonly LogLine[], wanted: string): Explanation {
  const own = lines.filter(({ fields }) => fields['request'] === wanted || fields['fingerprint'] === wanted)
  const fingerprints = new Set([wanted, ...own.map(({ fields }) => String(fields['fingerprint'] ?? wanted))])
  const chosen = lines.filter((line) => own.includes(line) || isEndUnder(line, fingerprints) || isQuestionAfter(line, own))
  const clocks = compareClocks(lines)
  const ahead = new Map(clocks)
  const sorted = chosen.map((line) => ({ ...line, correctedMs: line.atMs - (ahead.get(line.origin) ?? 0) })).sort((a, b) => a.correctedMs - b.correctedMs)
  return { lines: sorted, clocks, cause: findCause(sorted) }
}

function isEndUnder ({ message, fields }: LogLine, fingerprints: ReadonlySet<string>): boolean {
  const named = [fields['suspects'], fields['quarantined']].flatMap((value) => Array.isArray(value) ? value : [])
  return END_MESSAGES.has(message) && named.some((name) => fingerprints.has(String(name)))
}

function isQuestionAfter ({ message, origin, atMs, fields }: LogLine, own: readonly LogLine[]): boolean {
  return message === 'runner was asked whether it lives' && own.some((line) => {
    return line.message === 'attempt failed' && line.origin === origin && line.fields['runner'] === fields['runner'] && Math.abs(atMs - line.atMs) < QUESTION_MS
  })
}

/** What all daemons write of within moments of each other: facts, and who holds the office. */
function findSharedEvent ({ message, fields }: LogLine): string | undefined {
  if (END_MESSAGES.has(message)) return String(fields['fact'])
  if (message === 'holder of the runners changed') return `fence ${String(fields['fence'])}`
  return undefined
}

function compareClocks (lines: readonly LogLine[]): Array<[string, number | undefined]> {
  const origins = [...new Set(lines.map(({ origin }) => origin))].sort()
  const events = new Map(origins.map((origin) => [origin, new Map<string, number>()]))
  for (const line of lines) {
    const event = findSharedEvent(line)
    const known = events.get(line.origin)!
    if (event !== undefined && !known.has(event)) known.set(event, line.atMs)
  }
  const reference = events.get(origins[0] ?? '') ?? new Map<string, number>()
  return origins.map((origin) => {
    const differences = [...events.get(origin)!].flatMap(([event, atMs]) => reference.has(event) ? [atMs - reference.get(event)!] : []).sort((a, b) => a - b)
    return [origin, differences[Math.floor(differences.length / 2)]]
  })
}

function findCause (lines: readonly ExplainedLine[]): string {
  const last = lines.findLast(({ message }) => message === 'refused' || message === 'caller left' || message === 'attempt failed')
  if (last === undefined) return lines.length === 0 ? 'the logs name it nowhere: it went the plain way, or its lines were left out under load' : 'no decision ended it badly'
  const { code, reason, retryAfterMs, execution } = last.fields
  const ends = new Set(lines.filter(({ message }) => message === 'runner ended under requests').map(({ fields }) => `${String(fields['runner'])}/${String(fields['bornMs'])}`))
  const said = [code, reason, execution, retryAfterMs === undefined ? undefined : `come back after ${String(retryAfterMs)} ms`].filter((part) => part !== undefined).join(', ')
  return `${last.message} at ${last.origin}${said === '' ? '' : `: ${said}`}${ends.size === 0 ? '' : `; runners that ended under it: ${[...ends].join(', ')}`}`
}

/**
 * Formats an explanation for people.
 *
 * @example
 * process.stdout.write(formatExplanation(explainLogs(lines, id)))
 */
export function formatExplanation ({ lines, clocks, cause }: Explanation): string {
  const rows = lines.map(({ correctedMs, origin, message, fields }) => `${new Date(correctedMs).toISOString()}  ${origin}  ${message}  ${JSON.stringify(fields)}`)
  const ahead = clocks.map(([origin, aheadMs]) => `${origin} ${aheadMs === undefined ? 'not known' : `${aheadMs} ms`}`).join(', ')
  return [...rows, `clocks ahead of the first daemon's: ${ahead}`, `cause: ${cause}`].join('\n')
}
