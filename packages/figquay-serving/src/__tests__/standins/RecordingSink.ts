/** Sink that records what a caller would receive. */
import type { Refusal } from 'figquay'
import { ResponseSink } from '../../index.js'

/** Records the response as text, and how it ended. */
export class RecordingSink extends ResponseSink {
  text = ''
  ending = 'open'
  refusal: Refusal | undefined
  /** Whether the caller reads what is written. */
  isRead = true
  override startResponse (status: number): void {
    this.text += `${status} `
  }

  override async writeBytes (bytes: Buffer): Promise<void> {
    this.text += bytes.toString()
    if (!this.isRead) await new Promise(() => {})
  }

  override finishResponse (): void {
    this.ending = 'finished'
  }

  override abortResponse (): void {
    this.ending = 'abandoned'
  }

  override refuseRequest (refusal: Refusal): void {
    this.refusal = refusal
    this.ending = `refused ${refusal.status} ${refusal.execution}`
  }
}
