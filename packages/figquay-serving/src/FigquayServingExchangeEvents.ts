/** What the events of an exchange show of the runner, and of the contact with all of them. */
import type { FleetRunnerTable, Runner } from 'figquay-fleet'
import type { RunnerContact } from './FigquayServingRunnerContact.js'
import type { ExchangeEvent, ExchangeFailureReason } from './FigquayServingTypes.js'

/** Failures in which a process has answered, though not the expected one or not with the expected response. */
const ANSWERED_FAILURES: ReadonlySet<ExchangeFailureReason> = new Set(['declined', 'missing-model', 'other-runner', 'crossed'])

/**
 * Whether an event shows that the runner is alive: a connection that fails, or another runner at its address, doesn't.
 *
 * @example
 * if (isSentByRunner(event)) table.noteActivity(runner.id)
 */
export function isSentByRunner (event: ExchangeEvent): boolean {
  return event.type !== 'failed' || event.failure.reason === 'declined' || event.failure.reason === 'missing-model'
}

/**
 * Whether an event shows that a process at the runner's address can be reached, be it the runner or another.
 *
 * @example
 * if (isAnswer(event)) contact.noteResponse(exchange)
 */
export function isAnswer (event: ExchangeEvent): boolean {
  return event.type !== 'failed' || ANSWERED_FAILURES.has(event.failure.reason)
}

/**
 * Passes the events of an exchange on, and notes what they show.
 *
 * @example
 * for await (const event of observeExchange(events, runner, { contact, table })) handleEvent(event)
 */
export async function * observeExchange (events: AsyncIterable<ExchangeEvent>, runner: Runner, { contact, table }: { readonly contact: RunnerContact, readonly table: FleetRunnerTable }): AsyncGenerator<ExchangeEvent, void, void> {
  const exchange = contact.noteSent()
  try {
    for await (const event of events) {
      if (isSentByRunner(event)) table.noteActivity(runner.id)
      if (isAnswer(event)) contact.noteResponse(exchange)
      else if (event.type === 'failed' && event.failure.reason !== 'withdrawn') contact.noteFailure(exchange)
      yield event
    }
  } finally {
    contact.noteEnd(exchange)
  }
}
