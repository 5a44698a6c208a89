/** Explains from the daemons' log files what happened to a request, or to all requests with the same fingerprint. */

/** One line of a daemon's log. */
export interface LogLine {
  /** Time by the clock of the VM that wrote the line, in milliseconds since the epoch. */
  readonly atMs: number
  readonly origin: string
  readonly message: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** A line about the explained requests, with its time converted to the clock of the reference daemon. */
export interface ExplainedLine extends LogLine {
  readonly correctedMs: number
}

/** Timeline of the explained requests, and its outcome. */
export interface Explanation {
  readonly lines: readonly ExplainedLine[]
  /** How far each daemon's clock is ahead of the reference, the first daemon by name; undefined if no event shows it. */
  readonly clocks: ReadonlyArray<readonly [origin: string, skewMs: number | undefined]>
  /** The last decision, and the runners that ended while serving the requests. */
  readonly cause: string
}

/** A liveness check of a runner is attributed to an attempt that failed there within this time. */
const LIVENESS_CHECK_WINDOW_MS = 10_000
/** Log messages about confirmed and suspected ends of runners. */
const RUNNER_END_MESSAGES: ReadonlySet<string> = new Set(['runner ended under requests', 'runner may have ended under requests'])
const STANDARD_FIELDS: ReadonlySet<string> = new Set(['time', 'level', 'origin', 'message'])

/**
 * Parses a log file. Lines that are not JSON log lines, such as the output of a crash, are skipped and counted.
 *
 * @example
 * const { lines, unreadable } = parseLog(await readFile('daemon-1.log', 'utf8'))
 */
export function parseLog (text: string): { readonly lines: LogLine[], readonly unreadable: number } {
  const lines: LogLine[] = []
  let unreadable = 0
  for (const rawLine of text.split('\n').filter((line) => line.trim() !== '')) {
    const line = parseLine(rawLine)
    if (line === undefined) unreadable += 1
    else lines.push(line)
  }
  return { lines, unreadable }
}

function parseLine (rawLine: string): LogLine | undefined {
  try {
    const value = JSON.parse(rawLine.slice(Math.max(0, rawLine.indexOf('{')))) as Record<string, unknown>
    const { time, origin, message } = value
    if (typeof time !== 'string' || typeof origin !== 'string' || typeof message !== 'string') return undefined
    return { atMs: Date.parse(time), origin, message, fields: Object.fromEntries(Object.entries(value).filter(([name]) => !STANDARD_FIELDS.has(name))) }
  } catch {
    // Not JSON; the caller counts it.
    return undefined
  }
}

/**
 * Explains a request, given its id, or all requests with a given fingerprint.
 *
 * @example
 * explainLogs(lines, '9c41d07be2a35f68').cause // 'refused: upstream_failed, the request has crashed runners'
 */
export function explainLogs (lines: readonly LogLine[], target: string): Explanation {
  const directLines = lines.filter(({ fields }) => fields['request'] === target || fields['fingerprint'] === target)
  const fingerprints = new Set([target, ...directLines.map(({ fields }) => String(fields['fingerprint'] ?? target))])
  const relatedLines = lines.filter((line) => directLines.includes(line) || isRunnerEndDuring(line, fingerprints) || isLivenessCheckOf(line, directLines))
  const clocks = estimateClockSkews(lines)
  const skews = new Map(clocks)
  const timeline = relatedLines.map((line) => ({ ...line, correctedMs: line.atMs - (skews.get(line.origin) ?? 0) })).sort((a, b) => a.correctedMs - b.correctedMs)
  return { lines: timeline, clocks, cause: findCause(timeline) }
}

function isRunnerEndDuring ({ message, fields }: LogLine, fingerprints: ReadonlySet<string>): boolean {
  const namedFingerprints = [fields['suspects'], fields['quarantined']].flatMap((value) => Array.isArray(value) ? value : [])
  return RUNNER_END_MESSAGES.has(message) && namedFingerprints.some((name) => fingerprints.has(String(name)))
}

function isLivenessCheckOf ({ message, origin, atMs, fields }: LogLine, directLines: readonly LogLine[]): boolean {
  return message === 'runner was asked whether it lives' && directLines.some((line) => {
    return line.message === 'attempt failed' && line.origin === origin && line.fields['runner'] === fields['runner'] && Math.abs(atMs - line.atMs) < LIVENESS_CHECK_WINDOW_MS
  })
}

/**
 * Identifies an event that all daemons log at almost the same time, which allows their clocks to be compared: the end
 * of a runner or a change of leader.
 */
function identifySharedEvent ({ message, fields }: LogLine): string | undefined {
  if (RUNNER_END_MESSAGES.has(message)) return String(fields['fact'])
  if (message === 'holder of the runners changed') return `fence ${String(fields['fence'])}`
  return undefined
}

function estimateClockSkews (lines: readonly LogLine[]): Array<[string, number | undefined]> {
  const origins = [...new Set(lines.map(({ origin }) => origin))].sort()
  const eventTimes = new Map(origins.map((origin) => [origin, new Map<string, number>()]))
  for (const line of lines) {
    const event = identifySharedEvent(line)
    const ownTimes = eventTimes.get(line.origin)!
    if (event !== undefined && !ownTimes.has(event)) ownTimes.set(event, line.atMs)
  }
  const referenceTimes = eventTimes.get(origins[0] ?? '') ?? new Map<string, number>()
  return origins.map((origin) => {
    const skews = [...eventTimes.get(origin)!].flatMap(([event, atMs]) => referenceTimes.has(event) ? [atMs - referenceTimes.get(event)!] : []).sort((a, b) => a - b)
    return [origin, skews[Math.floor(skews.length / 2)]]
  })
}

function findCause (lines: readonly ExplainedLine[]): string {
  const lastDecision = lines.findLast(({ message }) => message === 'refused' || message === 'caller left' || message === 'attempt failed')
  if (lastDecision === undefined) return lines.length === 0 ? 'the logs name it nowhere: it went the plain way, or its lines were left out under load' : 'no decision ended it badly'
  const { code, reason, retryAfterMs, execution } = lastDecision.fields
  const runnerEnds = new Set(lines.filter(({ message }) => message === 'runner ended under requests').map(({ fields }) => `${String(fields['runner'])}/${String(fields['bornMs'])}`))
  const details = [code, reason, execution, retryAfterMs === undefined ? undefined : `come back after ${String(retryAfterMs)} ms`].filter((part) => part !== undefined).join(', ')
  return `${lastDecision.message} at ${lastDecision.origin}${details === '' ? '' : `: ${details}`}${runnerEnds.size === 0 ? '' : `; runners that ended under it: ${[...runnerEnds].join(', ')}`}`
}

/**
 * Formats an explanation as text.
 *
 * @example
 * process.stdout.write(formatExplanation(explainLogs(lines, id)))
 */
export function formatExplanation ({ lines, clocks, cause }: Explanation): string {
  const rows = lines.map(({ correctedMs, origin, message, fields }) => `${new Date(correctedMs).toISOString()}  ${origin}  ${message}  ${JSON.stringify(fields)}`)
  const skews = clocks.map(([origin, skewMs]) => `${origin} ${skewMs === undefined ? 'unknown' : `${skewMs} ms`}`).join(', ')
  return [...rows, `clock skew against the first daemon: ${skews}`, `cause: ${cause}`].join('\n')
}
