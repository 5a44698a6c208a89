export { IdempotencyFold, type CallResult, type ClaimData, type KeyEntry, type OutcomeData } from './FigquayIdempotencyFold.js'
export { IdempotencyExecutor, type ClaimPartition, type GuardedCall, type IdempotencyRunnerOptions, type KeyStatus } from './FigquayIdempotencyRunner.js'
