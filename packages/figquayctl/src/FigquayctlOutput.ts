/** Output for people and for programs, and exit codes. */

/** Exit codes of the command line. */
export const EXIT_CODES = {
  ok: 0,
  /** The daemon did not answer or refused. */
  failed: 1,
  /** The file or the command line is wrong; nothing was sent. */
  usage: 2,
  /** The change lost against another one, or the daemon's checks. */
  rejected: 3,
  /** It is not known whether the change was accepted: ask again with the same change id. */
  unknown: 4
} as const

/**
 * Writes a result: JSON for programs, text for people.
 *
 * @example
 * writeResult(true, reply, () => formatStatus(reply))
 */
export function writeResult (isJson: boolean, result: unknown, formatText: () => string): void {
  process.stdout.write((isJson ? JSON.stringify(result, null, 2) : formatText()) + '\n')
}

/**
 * Ends the process with a message.
 *
 * @example
 * exitWith(EXIT_CODES.failed, 'daemon-1 does not answer')
 */
export function exitWith (code: number, message: string): never {
  process.stderr.write(`${message}\n`)
  process.exit(code)
}
