const pollMs = 10
const waitLimitMs = 8_000

/**
 * Polls until `isReached` returns true.
 * @throws {Error} after 8 s, with the details that `describe` returns
 */
export async function waitUntil (isReached: () => boolean, describe: () => string = () => ''): Promise<void> {
  const endMs = performance.now() + waitLimitMs
  while (!isReached()) {
    if (performance.now() > endMs) throw new Error(`the state that the test waits for was not reached in time${describe()}`)
    await new Promise((resolve) => setTimeout(resolve, pollMs))
  }
}
