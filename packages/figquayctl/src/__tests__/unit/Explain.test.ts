/** Explanation of requests, by id or by fingerprint, from log files with clock skew and with lines that are not JSON. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { explainLogs, formatExplanation, parseLog } from '../../index.js'

function makeLine (atSecond: number, origin: string, message: string, fields: Record<string, unknown>): string {
  return JSON.stringify({ time: new Date(1_000_000 + atSecond * 1_000).toISOString(), level: 'info', origin, message, ...fields })
}

/** Daemon b's clock is five seconds ahead. It is told that the runner ended, which daemon a detected, and refuses the next request. */
const RUNNER_END = { fact: 'crash-1', runner: 'r1', bornMs: 7, suspects: ['print'], quarantined: ['print'] }
const LOGS = [
  [
    makeLine(0, 'a', 'holder of the runners changed', { holder: 'a', fence: 3 }),
    makeLine(1, 'a', 'attempt failed', { request: 'q1', fingerprint: 'print', runner: 'r1', reason: 'reset', execution: 'unknown' }),
    makeLine(1.1, 'a', 'runner was asked whether it lives', { runner: 'r1', sign: 'refused', fate: 'ended' }),
    makeLine(1.1, 'a', 'runner ended under requests', RUNNER_END),
    makeLine(2, 'a', 'order', { runner: 'r1' }),
    'Segmentation fault'
  ].join('\n'),
  [
    makeLine(5, 'b', 'holder of the runners changed', { holder: 'a', fence: 3 }),
    makeLine(6.2, 'b', 'runner ended under requests', RUNNER_END),
    makeLine(8, 'b', 'refused', { request: 'q2', fingerprint: 'print', code: 'upstream_failed', reason: 'the request has crashed runners', execution: 'unknown' })
  ].join('\n')
].map(parseLog)
const LINES = LOGS.flatMap(({ lines }) => lines)

describe('explanation of requests from log files', () => {
  it('orders the lines about a fingerprint by time across daemons with clock skew', () => {
    const { lines, clocks } = explainLogs(LINES, 'print')
    expect(lines.map(({ origin, message }) => `${origin}: ${message}`)).toEqual([
      'a: attempt failed', 'a: runner was asked whether it lives', 'a: runner ended under requests', 'b: runner ended under requests', 'b: refused'
    ])
    expect(clocks).toEqual([['a', 0], ['b', 5_100]])
  })

  it('ends with the cause, also for a request that was never sent to a runner', () => {
    const explanation = explainLogs(LINES, 'q2')
    expect(explanation.cause).toEqual('refused at b: upstream_failed, the request has crashed runners, unknown; runners that ended under it: r1/7')
    expect(formatExplanation(explanation).split('\n').at(-1)!.startsWith('cause: refused at b')).toEqual(true)
  })

  it('reports a request that no line names, and counts lines that are not log lines', () => {
    expect(explainLogs(LINES, 'q9').cause.startsWith('the logs name it nowhere')).toEqual(true)
    expect(LOGS.map(({ unreadable }) => unreadable)).toEqual([1, 0])
  })
})
