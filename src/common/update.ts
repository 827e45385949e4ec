/** Sets several fields of an object; unlike `Object.assign`, the compiler rejects fields that it doesn't have. */
export function update<T extends object> (target: T, change: Partial<NoInfer<T>>): void {
  Object.assign(target, change)
}
