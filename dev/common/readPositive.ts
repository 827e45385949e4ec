import { InvalidArgumentError } from 'commander'

/**
 * Parses a positive number on a command line.
 * @throws {InvalidArgumentError} for any other text
 */
export function readPositive (text: string): number {
  const value = Number(text)
  if (!Number.isFinite(value) || value <= 0) throw new InvalidArgumentError('must be a number above 0')
  return value
}
