const pollMs = 10
const waitLimitMs = 8_000

/** Waits until a state is reached; `describe` adds what is known when it does not come. */
export async function waitUntil (isReached: () => boolean, describe: () => string = () => ''): Promise<void> {
  const endMs = performance.now() + waitLimitMs
  while (!isReached()) {
    if (performance.now() > endMs) throw new Error(`the state that the test waits for did not come${describe()}`)
    await new Promise((resolve) => setTimeout(resolve, pollMs))
  }
}
