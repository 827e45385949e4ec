/** Names that the platform's list calls leaving. */
export interface Listing {
  readonly endpoints: readonly string[]
  readonly hosts: readonly string[]
}
