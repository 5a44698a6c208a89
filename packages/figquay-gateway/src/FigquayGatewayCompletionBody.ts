/** Checks the bodies of OpenAI's completion calls. */
import { z } from 'zod'
import { makeFailure, makeSuccess, Refusal, type Outcome } from 'figquay'

const chatSchema = z.looseObject({
  model: z.string().min(1).max(200),
  stream: z.boolean().default(false),
  max_tokens: z.int().positive().max(32_768).optional(),
  messages: z.array(z.looseObject({ role: z.string(), content: z.string() })).min(1)
})

const textSchema = z.looseObject({
  model: z.string().min(1).max(200),
  stream: z.boolean().default(false),
  max_tokens: z.int().positive().max(32_768).optional(),
  prompt: z.string().min(1)
})

/** What routing needs of a body. */
export interface CompletionBody {
  readonly model: string
  readonly adapter: string | undefined
  readonly stream: boolean
  readonly prompt: string
  readonly promptTokens: number
  readonly outputTokens: number
  readonly body: Readonly<Record<string, unknown>>
}

const CHARACTERS_PER_TOKEN = 4
const DEFAULT_OUTPUT_TOKENS = 128

function parseJson (bytes: Buffer): Outcome<unknown, Refusal> {
  try {
    return makeSuccess(JSON.parse(bytes.toString('utf8')))
  } catch (error) {
    return makeFailure(Refusal.create('bad_request', `the body is not JSON: ${(error as Error).message}`))
  }
}

/**
 * Parses the body of `/v1/chat/completions` or `/v1/completions`.
 *
 * @example
 * const outcome = parseCompletionBody('/v1/chat/completions', bytes)
 */
export function parseCompletionBody (path: string, bytes: Buffer): Outcome<CompletionBody, Refusal> {
  const json = parseJson(bytes)
  if (!json.ok) return json
  const isChat = path === '/v1/chat/completions'
  const parsed = (isChat ? chatSchema : textSchema).safeParse(json.value)
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
    stream: body.stream,
    prompt,
    promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
    outputTokens: body.max_tokens ?? DEFAULT_OUTPUT_TOKENS,
    body
  })
}
