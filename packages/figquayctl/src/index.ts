export { OperatorClient, type OperatorAddress, type OperatorFailure } from './FigquayctlClient.js'
export { EXIT_CODES } from './FigquayctlOutput.js'
