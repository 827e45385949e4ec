/** Resolves to undefined after a time; a pending one doesn't keep the process running. */
export async function sleep (ms: number): Promise<undefined> {
  return await new Promise((resolve) => setTimeout(() => resolve(undefined), ms).unref())
}
