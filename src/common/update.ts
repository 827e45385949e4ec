/** Sets several fields of an object; unlike `Object.assign`, the compiler rejects fields that it doesn't have. */
export function update<T extends object> (target: T, change: NoExtraKeys<T>): void {
  Object.assign(target, change)
}

type NoExtraKeys<T> = { [K in keyof T]?: T[K] }
