export { registerCallerGateway, type ListenAddress } from './FigquayGatewayCallerService.js'
export { OperatorGateway, type OperatorGatewayOptions, type OperatorMethods } from './FigquayGatewayOperatorService.js'
export { formatRefusal, GatewayExchange, MAX_BODY_BYTES } from './FigquayGatewayExchange.js'
export type { GatewayContext } from './FigquayGatewayTypes.js'
