const minCapacity = 4_096

/**
 * Collects the chunks of a body in one buffer of at most twice their bytes. A list of chunks would need some hundred bytes for
 * each one, and each would keep the buffer alive into which its socket was read.
 */
export class GrowingBuffer {
  private data: Buffer = Buffer.alloc(0)
  private ownsData = false
  private usedBytes = 0

  get length (): number {
    return this.usedBytes
  }

  append (chunk: Buffer): void {
    if (this.usedBytes === 0) {
      // Most bodies arrive in one chunk, which needs no copy.
      this.data = chunk
      this.ownsData = false
      this.usedBytes = chunk.length
      return
    }
    this.reserve(this.usedBytes + chunk.length)
    chunk.copy(this.data, this.usedBytes)
    this.usedBytes += chunk.length
  }

  /** Returns the collected bytes and empties this buffer. */
  take (): Buffer {
    const taken = this.data.subarray(0, this.usedBytes)
    this.clear()
    return taken
  }

  clear (): void {
    this.data = Buffer.alloc(0)
    this.ownsData = false
    this.usedBytes = 0
  }

  private reserve (bytes: number): void {
    if (this.ownsData && bytes <= this.data.length) return
    const grown = Buffer.allocUnsafeSlow(Math.max(minCapacity, bytes * 2))
    this.data.copy(grown, 0, 0, this.usedBytes)
    this.data = grown
    this.ownsData = true
  }
}
