/**
 * Calls back once the event loop has polled all sockets again. Node.js delivers the bytes of a connection and its end in different
 * polls, so only then is it known whether the peer had closed the connection behind what it sent.
 */
export function afterNextPoll (callback: () => void): void {
  setImmediate(() => setImmediate(callback))
}
