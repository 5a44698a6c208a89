export { IdempotencyStateMachine, type CallResult, type ClaimData, type KeyEntry, type OutcomeData } from './FigquayIdempotencyStateMachine.js'
export { IdempotencyExecutor, type ClaimPartition, type KeyedCall, type IdempotencyExecutorOptions, type KeyStatus } from './FigquayIdempotencyExecutor.js'
