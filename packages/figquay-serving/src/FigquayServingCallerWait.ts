/** Waits for callers that read slowly. */

/**
 * Waits until a caller has read on, but not beyond the deadline of its request: it may never read on.
 *
 * @example
 * await waitUnlessAborted(sink.writeBytes(bytes), signal)
 */
export async function waitUnlessAborted (waiting: Promise<void>, signal: AbortSignal): Promise<void> {
  if (signal.aborted) return
  let stopWaiting = (): void => {}
  const aborted = new Promise<void>((resolve) => {
    stopWaiting = resolve
    signal.addEventListener('abort', stopWaiting, { once: true })
  })
  await Promise.race([waiting, aborted])
  signal.removeEventListener('abort', stopWaiting)
}
