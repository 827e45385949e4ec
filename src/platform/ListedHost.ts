/** An entry of the platform's host list. */
export interface ListedHost {
  /** Name of the entry host or of the endpoint. */
  readonly name: string
  readonly kind: 'entry' | 'upstream'
  readonly state: 'live' | 'leaving'
}
