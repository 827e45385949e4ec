/** Endpoints and hosts that the platform's list marks as leaving. */
export interface Listing {
  readonly endpoints: readonly string[]
  readonly hosts: readonly string[]
}
