/** Ways of writing a completion to its caller: piece by piece, or whole. */
import { once } from 'node:events'
import type { CompletionSink } from 'figquay-routing'
import type { GatewayExchange } from './FigquayGatewayExchange.js'

type Chunk = Readonly<Record<string, unknown>>

/** A completion sink that also ends the answer. */
export abstract class AnswerSink implements CompletionSink {
  abstract writeChunk (chunk: Chunk): Promise<void>
  /** Ends a whole answer. */
  abstract finish (): void
}

const EVENT_STREAM_HEADERS = {
  'content-type': 'text/event-stream',
  'cache-control': 'no-store',
  'figquay-outcome': 'ran'
}

/** Server-sent events, a chunk each. */
export class StreamSink extends AnswerSink {
  private constructor (private readonly exchange: GatewayExchange) {
    super()
  }

  /**
   * @example
   * const sink = StreamSink.create(exchange)
   */
  static create (exchange: GatewayExchange): StreamSink {
    return new StreamSink(exchange)
  }

  override async writeChunk (chunk: Chunk): Promise<void> {
    const { response, signal } = this.exchange
    if (!response.headersSent) response.writeHead(200, EVENT_STREAM_HEADERS)
    const hasRoom = response.write(`data: ${JSON.stringify(chunk)}\n\n`)
    if (!hasRoom && !signal.aborted) await once(response, 'drain', { signal }).catch(() => undefined)
  }

  override finish (): void {
    this.exchange.response.end('data: [DONE]\n\n')
  }
}

interface Choice {
  readonly delta?: { readonly content?: string }
  readonly text?: string
  readonly finish_reason?: string | null
}

/** One JSON object when the answer is whole. */
export class WholeSink extends AnswerSink {
  private readonly parts: string[] = []
  private last: Chunk = {}
  private finishReason: string | null = null

  private constructor (private readonly exchange: GatewayExchange, private readonly isChat: boolean) {
    super()
  }

  /**
   * @example
   * const sink = WholeSink.create(exchange, true)
   */
  static create (exchange: GatewayExchange, isChat: boolean): WholeSink {
    return new WholeSink(exchange, isChat)
  }

  override async writeChunk (chunk: Chunk): Promise<void> {
    const choice = (chunk['choices'] as Choice[] | undefined)?.[0]
    this.last = chunk
    this.parts.push(choice?.delta?.content ?? choice?.text ?? '')
    this.finishReason = choice?.finish_reason ?? this.finishReason
  }

  override finish (): void {
    const text = this.parts.join('')
    const content = this.isChat ? { message: { role: 'assistant', content: text } } : { text }
    this.exchange.writeJson(200, {
      id: this.last['id'],
      object: this.isChat ? 'chat.completion' : 'text_completion',
      created: this.last['created'],
      model: this.last['model'],
      choices: [{ index: 0, ...content, finish_reason: this.finishReason }]
    }, 'ran')
  }
}
