/** Shapes of the documents that operators publish. */
import { z } from 'zod'
import { durationSchema, sizeSchema } from 'figquay'

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]*$/, 'expected a name of lower-case letters, digits and hyphens')
const positiveSchema = z.number().positive()

/** Runners of one sort and what they hold. */
export const poolSchema = z.strictObject({
  name: nameSchema,
  /** Accelerator memory of one runner that models and adapters may take. */
  memory: sizeSchema,
  /** Part of `memory` set aside for adapters. */
  adapterMemory: sizeSchema,
  /** Whether the engines refuse an order that carries an older fencing number. */
  fencing: z.enum(['checked', 'ignored']),
  /** Runners that are planned together: the whole pool, or those of one data centre. */
  plannedBy: z.enum(['pool', 'zone']).default('pool')
})

/** A model that some pool serves. */
export const modelSchema = z.strictObject({
  name: nameSchema,
  pool: nameSchema,
  version: z.string().min(1),
  size: sizeSchema,
  adapters: z.array(z.strictObject({ name: nameSchema, size: sizeSchema })).default([])
})

/** A plain service that calls are routed to. */
export const serviceSchema = z.strictObject({ name: nameSchema })

const kindBase = {
  name: nameSchema,
  priority: z.enum(['interactive', 'standard', 'batch']),
  answerWithin: durationSchema
}

/** Requests that a model answers. */
export const modelKindSchema = z.strictObject({
  ...kindBase,
  type: z.literal('model'),
  /** Model names; a trailing `*` stands for any ending. */
  models: z.array(z.string().min(1)).min(1),
  firstTokenWithin: durationSchema
})

/** Requests that a plain service answers. */
export const serviceKindSchema = z.strictObject({
  ...kindBase,
  type: z.literal('service'),
  service: nameSchema,
  /** `METHOD /path`; a trailing `*` stands for any ending. */
  calls: z.array(z.string().regex(/^[A-Z]+ \/\S*$/, 'expected "METHOD /path"')).min(1),
  /** `never`: at most once, under an idempotency key. */
  repeat: z.enum(['safe', 'never'])
})

/** One kind of request and what is promised for it. */
export const kindSchema = z.discriminatedUnion('type', [modelKindSchema, serviceKindSchema])

/** Everything promised to one customer and asked of it. */
export const contractSchema = z.strictObject({
  customer: nameSchema,
  /** SHA-256 of each caller key, in hexadecimal. */
  keys: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'expected the SHA-256 of a key as 64 hexadecimal digits')).min(1),
  /** Weight against other customers when capacity is short. */
  share: positiveSchema,
  limits: z.strictObject({ requestsPerSecond: positiveSchema, tokensPerSecond: positiveSchema }),
  rememberKeysFor: durationSchema,
  /** Share of requests to be answered within contract, for the burn report. */
  objective: z.number().gt(0).lt(1).default(0.95),
  kinds: z.array(kindSchema).min(1)
})

/** How placement weighs what it does. */
export const policySchema = z.strictObject({
  /** Requests per minute that a move must win to be worth making. */
  movePrice: z.number().nonnegative(),
  /** Model loads at once that the weight store serves at full speed. */
  loadsAtOnce: z.int().positive(),
  /** Model loads started in a second. */
  loadsPerSecond: positiveSchema,
  /** Adapters in transit at once over all runners. */
  adaptersAtOnce: z.int().positive(),
  /** Least time between two moves on one runner that are not needed for reachability. */
  coolDown: durationSchema
})

/** Everything that a deployment publishes, as one file. */
export const deploymentSchema = z.strictObject({
  pools: z.array(poolSchema),
  models: z.array(modelSchema),
  services: z.array(serviceSchema),
  contracts: z.array(contractSchema),
  policy: policySchema
})

export type Pool = z.output<typeof poolSchema>
export type Model = z.output<typeof modelSchema>
export type Service = z.output<typeof serviceSchema>
export type ModelKind = z.output<typeof modelKindSchema>
export type ServiceKind = z.output<typeof serviceKindSchema>
export type Kind = z.output<typeof kindSchema>
export type Contract = z.output<typeof contractSchema>
export type PlacementPolicySettings = z.output<typeof policySchema>
export type Deployment = z.output<typeof deploymentSchema>
export type DeploymentSource = z.input<typeof deploymentSchema>
export type Priority = Kind['priority']
