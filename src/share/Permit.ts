/** An admitted request's hold on its customer's cap; must be released exactly once. */
export abstract class Permit {
  /** Counts the request as in flight in `region`; false when the contract's region share does not allow it. */
  abstract enterRegion (region: string): boolean

  /** Ends the hold on a region that `enterRegion` allowed. */
  abstract leaveRegion (region: string): void

  /** Reserves body bytes under the upload cap and returns the ms to wait before they may be sent. */
  abstract reserveUploadBytes (bytes: number): number

  /** Gives the permit back; later calls do nothing. */
  abstract release (): void
}
