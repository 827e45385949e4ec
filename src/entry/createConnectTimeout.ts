/** The error of a connection that was not made in time, of the same shape as the system's own. */
export function createConnectTimeout (): Error {
  return Object.assign(new Error('the connection was not made in time'), { code: 'ETIMEDOUT', syscall: 'connect' })
}
