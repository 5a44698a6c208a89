export { EngineClient, type CompletionEvent, type CompletionRequest, type CompletionFailure, type EngineLoad, type EngineOrder, type EngineState, type LoadedAdapter, type LoadedModel, type LoadPhase, type OrderAction, type OrderReply } from './FigquayEngineClient.js'
export { PlainServiceClient, type ServiceCall, type ServiceReply } from './FigquayPlainServiceClient.js'
export { HttpEngineClient, registerHttpEngineClient } from './FigquayHttpEngineClient.js'
export { HttpPlainServiceClient, registerHttpPlainServiceClient } from './FigquayHttpPlainServiceClient.js'
