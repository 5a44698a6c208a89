/** Validates the bodies of OpenAI completion requests. */
import { z } from 'zod'
import { makeFailure, makeSuccess, Refusal, type Outcome } from 'figquay'

const chatCompletionSchema = z.looseObject({
  model: z.string().min(1).max(200),
  stream: z.boolean().default(false),
  max_tokens: z.int().positive().max(32_768).optional(),
  messages: z.array(z.looseObject({ role: z.string(), content: z.string() })).min(1)
})

const textCompletionSchema = z.looseObject({
  model: z.string().min(1).max(200),
  stream: z.boolean().default(false),
  max_tokens: z.int().positive().max(32_768).optional(),
  prompt: z.string().min(1)
})

/** A validated request body with the fields that routing needs. */
export interface ParsedCompletionBody {
  readonly model: string
  readonly adapter: string | undefined
  readonly isStreaming: boolean
  readonly prompt: string
  /** Estimated from the length of the prompt. */
  readonly promptTokens: number
  /** `max_tokens` of the request, or a default. */
  readonly outputTokens: number
  readonly body: Readonly<Record<string, unknown>>
}

const CHARACTERS_PER_TOKEN = 4
const DEFAULT_OUTPUT_TOKENS = 128

function parseJson (bytes: Buffer): Outcome<unknown, Refusal> {
  try {
    return makeSuccess(JSON.parse(bytes.toString('utf8')))
  } catch (error) {
    return makeFailure(Refusal.create('bad_request', `the request body is not valid JSON: ${(error as Error).message}`))
  }
}

/**
 * Parses and validates the body of `/v1/chat/completions` or `/v1/completions`.
 *
 * @example
 * const outcome = parseCompletionBody('/v1/chat/completions', bytes)
 */
export function parseCompletionBody (path: string, bytes: Buffer): Outcome<ParsedCompletionBody, Refusal> {
  const json = parseJson(bytes)
  if (!json.ok) return json
  const isChat = path === '/v1/chat/completions'
  const parsed = (isChat ? chatCompletionSchema : textCompletionSchema).safeParse(json.value)
  if (!parsed.success) {
    const issue = parsed.error.issues[0]!
    return makeFailure(Refusal.create('bad_request', `${issue.path.join('.') || 'body'}: ${issue.message}`))
  }
  const body = parsed.data
  const prompt = 'messages' in body ? (body.messages as Array<{ content: string }>).map((message) => message.content).join('\n') : String(body['prompt'])
  const [model, adapter] = body.model.split(':')
  return makeSuccess({
    model: model!,
    adapter,
    isStreaming: body.stream,
    prompt,
    promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
    outputTokens: body.max_tokens ?? DEFAULT_OUTPUT_TOKENS,
    body
  })
}
