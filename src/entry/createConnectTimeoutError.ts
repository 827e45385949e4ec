/** Creates the error for a connect timeout, with the same fields as errors of the operating system. */
export function createConnectTimeoutError (): Error {
  return Object.assign(new Error('the connection was not established in time'), { code: 'ETIMEDOUT', syscall: 'connect' })
}
