/** Schemas of the documents that operators publish. */
import { z } from 'zod'
import { durationSchema, sizeSchema } from 'figquay'

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]*$/, 'expected a name of lower-case letters, digits and hyphens')
const positiveNumberSchema = z.number().positive()

/** A group of interchangeable runners and their memory. */
export const poolSchema = z.strictObject({
  name: nameSchema,
  /** Accelerator memory of one runner that is available to models and adapters. */
  memory: sizeSchema,
  /** Part of `memory` reserved for adapters. */
  adapterMemory: sizeSchema,
  /** Whether the engines reject an order that carries a stale fencing token. */
  fencing: z.enum(['checked', 'ignored']),
  /** Scope of placement planning: the whole pool, or its runners in one data centre. */
  plannedBy: z.enum(['pool', 'zone']).default('pool')
})

/** A model, its adapters and the pool that serves it. */
export const modelSchema = z.strictObject({
  name: nameSchema,
  pool: nameSchema,
  version: z.string().min(1),
  size: sizeSchema,
  adapters: z.array(z.strictObject({ name: nameSchema, size: sizeSchema })).default([])
})

/** A service without models, to which calls are routed. */
export const serviceSchema = z.strictObject({ name: nameSchema })

const requestKindFields = {
  name: nameSchema,
  priority: z.enum(['interactive', 'standard', 'batch']),
  answerWithin: durationSchema
}

/** A kind of request that is answered by a model. */
export const modelRequestKindSchema = z.strictObject({
  ...requestKindFields,
  type: z.literal('model'),
  /** Model name patterns; a trailing `*` matches any suffix. */
  models: z.array(z.string().min(1)).min(1),
  firstTokenWithin: durationSchema
})

/** A kind of request that is answered by a service. */
export const serviceCallKindSchema = z.strictObject({
  ...requestKindFields,
  type: z.literal('service'),
  service: nameSchema,
  /** `METHOD /path` patterns; a trailing `*` matches any suffix. */
  calls: z.array(z.string().regex(/^[A-Z]+ \/\S*$/, 'expected "METHOD /path"')).min(1),
  /** `safe`: the call may be retried. `never`: it is executed at most once, under an idempotency key. */
  repeat: z.enum(['safe', 'never'])
})

/** A kind of request with its priority and latency targets. */
export const requestKindSchema = z.discriminatedUnion('type', [modelRequestKindSchema, serviceCallKindSchema])

/** Service levels and limits agreed with one customer. */
export const contractSchema = z.strictObject({
  customer: nameSchema,
  /** SHA-256 of each caller key, in hexadecimal. */
  keys: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'expected the SHA-256 of a key as 64 hexadecimal digits')).min(1),
  /** Weight for sharing scarce capacity with other customers. */
  share: positiveNumberSchema,
  limits: z.strictObject({ requestsPerSecond: positiveNumberSchema, tokensPerSecond: positiveNumberSchema }),
  rememberKeysFor: durationSchema,
  /** Fraction of requests that must meet their latency targets; the burn report measures against it. */
  objective: z.number().gt(0).lt(1).default(0.95),
  kinds: z.array(requestKindSchema).min(1)
})

/** Costs and limits that placement observes when it moves models and adapters. */
export const placementPolicySchema = z.strictObject({
  /** Gain in requests per minute that a move must exceed. */
  movePrice: z.number().nonnegative(),
  /** Maximum concurrent model loads; the number that the weight store serves at full speed. */
  loadsAtOnce: z.int().positive(),
  /** Maximum rate at which model loads are started. */
  loadsPerSecond: positiveNumberSchema,
  /** Maximum concurrent adapter transfers across all runners. */
  adaptersAtOnce: z.int().positive(),
  /** Minimum time between two moves on one runner; moves needed to keep a model reachable are exempt. */
  coolDown: durationSchema
})

/** All documents of a deployment, as in a deployment file. */
export const deploymentSchema = z.strictObject({
  pools: z.array(poolSchema),
  models: z.array(modelSchema),
  services: z.array(serviceSchema),
  contracts: z.array(contractSchema),
  policy: placementPolicySchema
})

export type Pool = z.output<typeof poolSchema>
export type Model = z.output<typeof modelSchema>
export type Service = z.output<typeof serviceSchema>
export type ModelRequestKind = z.output<typeof modelRequestKindSchema>
export type ServiceCallKind = z.output<typeof serviceCallKindSchema>
export type RequestKind = z.output<typeof requestKindSchema>
export type Contract = z.output<typeof contractSchema>
export type PlacementPolicySettings = z.output<typeof placementPolicySchema>
export type Deployment = z.output<typeof deploymentSchema>
export type DeploymentSource = z.input<typeof deploymentSchema>
export type Priority = RequestKind['priority']
