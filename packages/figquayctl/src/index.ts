export { OperatorClient, type OperatorAddress, type OperatorFailure } from './FigquayctlClient.js'
export { EXIT_CODES, formatTable } from './FigquayctlOutput.js'
