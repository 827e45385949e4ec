/**
 * Wraps a callback of a socket, stream or timer. An exception would end the process there; it is passed to `onException`
 * instead, which fails the attempt, connection or peer that the callback belongs to.
 */
export function guardCallback<Args extends unknown[]> (callback: (...args: Args) => void, onException: (error: unknown) => void): (...args: Args) => void {
  return (...args) => {
    try {
      callback(...args)
    } catch (error) {
      onException(error)
    }
  }
}
