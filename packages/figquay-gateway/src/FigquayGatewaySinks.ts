/** Sinks that write a completion to its caller, either as an event stream or as one JSON object. */
import { once } from 'node:events'
import type { CompletionSink } from 'figquay-routing'
import type { GatewayExchange } from './FigquayGatewayExchange.js'

type Chunk = Readonly<Record<string, unknown>>

/** A completion sink that can also end the response. */
export abstract class AnswerSink implements CompletionSink {
  abstract writeChunk (chunk: Chunk): Promise<void>
  /** Ends the response after the last chunk. */
  abstract finish (): void
}

const EVENT_STREAM_HEADERS = {
  'content-type': 'text/event-stream',
  'cache-control': 'no-store',
  'figquay-outcome': 'ran'
}

/** Writes each chunk as a server-sent event. */
export class EventStreamSink extends AnswerSink {
  private constructor (private readonly exchange: GatewayExchange) {
    super()
  }

  /**
   * @example
   * const sink = EventStreamSink.create(exchange)
   */
  static create (exchange: GatewayExchange): EventStreamSink {
    return new EventStreamSink(exchange)
  }

  override async writeChunk (chunk: Chunk): Promise<void> {
    const { response, signal } = this.exchange
    if (!response.headersSent) response.writeHead(200, EVENT_STREAM_HEADERS)
    const hasBufferSpace = response.write(`data: ${JSON.stringify(chunk)}\n\n`)
    if (!hasBufferSpace && !signal.aborted) await once(response, 'drain', { signal }).catch(() => undefined)
  }

  override finish (): void {
    this.exchange.response.end('data: [DONE]\n\n')
  }
}

interface ChunkChoice {
  readonly delta?: { readonly content?: string }
  readonly text?: string
  readonly finish_reason?: string | null
}

/** Buffers the chunks and writes the complete answer as one JSON object. */
export class BufferedSink extends AnswerSink {
  private readonly texts: string[] = []
  private lastChunk: Chunk = {}
  private finishReason: string | null = null

  private constructor (private readonly exchange: GatewayExchange, private readonly isChat: boolean) {
    super()
  }

  /**
   * @example
   * const sink = BufferedSink.create(exchange, true)
   */
  static create (exchange: GatewayExchange, isChat: boolean): BufferedSink {
    return new BufferedSink(exchange, isChat)
  }

  override async writeChunk (chunk: Chunk): Promise<void> {
    const choice = (chunk['choices'] as ChunkChoice[] | undefined)?.[0]
    this.lastChunk = chunk
    this.texts.push(choice?.delta?.content ?? choice?.text ?? '')
    this.finishReason = choice?.finish_reason ?? this.finishReason
  }

  override finish (): void {
    const text = this.texts.join('')
    const content = this.isChat ? { message: { role: 'assistant', content: text } } : { text }
    this.exchange.writeJson(200, {
      id: this.lastChunk['id'],
      object: this.isChat ? 'chat.completion' : 'text_completion',
      created: this.lastChunk['created'],
      model: this.lastChunk['model'],
      choices: [{ index: 0, ...content, finish_reason: this.finishReason }]
    }, 'ran')
  }
}
