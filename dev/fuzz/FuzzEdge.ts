import type * as fc from 'fast-check'

/** One edge at which bytes from outside enter a host: a generator of inputs, and the code that must bear them. */
export abstract class FuzzEdge<Input> {
  abstract readonly name: string
  /** Structured inputs; the generator shrinks one that fails. */
  abstract readonly inputs: fc.Arbitrary<Input>

  /** Starts what all checks share. */
  async open (): Promise<void> {}

  /**
   * Feeds one input to the code.
   * @throws {Error} when the code breaks a promise
   */
  abstract check (input: Input): Promise<void>

  async close (): Promise<void> {}
}
