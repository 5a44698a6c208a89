export { IdempotencyFold, type CallResult, type ClaimData, type KeyEntry, type OutcomeData } from './FigquayIdempotencyFold.js'
export { IdempotencyRunner, type ClaimPartition, type GuardedCall, type IdempotencyRunnerOptions, type KeyStatus } from './FigquayIdempotencyRunner.js'
