/** An admitted request's hold on its customer's cap; must be released exactly once. */
export abstract class Permit {
  /** Counts the request as in flight in `region`, or returns false when that would exceed the contract's region share. */
  abstract enterRegion (region: string): boolean

  /** Ends the count of the request in `region` after `enterRegion` returned true. */
  abstract leaveRegion (region: string): void

  /** Reserves body bytes under the upload cap and returns the time in ms to wait before they may be sent. */
  abstract reserveUploadBytes (bytes: number): number

  /** Releases the permit; later calls have no effect. */
  abstract release (): void
}
