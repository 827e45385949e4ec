/** What a response says about one matter. An invalid text tells neither that there is nothing to say nor what it is. */
export type NoticeReading<Value> =
  | { readonly kind: 'none' }
  | { readonly kind: 'value', readonly value: Value }
  | { readonly kind: 'invalid', readonly text: string }
