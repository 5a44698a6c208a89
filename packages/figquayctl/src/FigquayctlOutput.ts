/** Text and JSON output, and exit codes. */

/** Exit codes of the command line. */
export const EXIT_CODES = {
  ok: 0,
  /** The daemon did not respond, or refused the call. */
  failed: 1,
  /** The file or the command line is invalid; nothing was sent. */
  usage: 2,
  /** The change conflicted with another one, or failed validation. */
  rejected: 3,
  /** It is not known whether the change was accepted: retry with the same change id. */
  unknown: 4
} as const

/**
 * Writes a result to standard output, as JSON or as text.
 *
 * @example
 * writeResult(true, reply, () => formatStatus(reply))
 */
export function writeResult (isJson: boolean, result: unknown, formatText: () => string): void {
  process.stdout.write((isJson ? JSON.stringify(result, null, 2) : formatText()) + '\n')
}

/**
 * Writes a message to standard error and ends the process.
 *
 * @example
 * exitWith(EXIT_CODES.failed, 'daemon-1 does not respond')
 */
export function exitWith (code: number, message: string): never {
  process.stderr.write(`${message}\n`)
  process.exit(code)
}
