/** An availability zone. */
export interface ZoneSpec {
  readonly name: string
  readonly region: string
}
