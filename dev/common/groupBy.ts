/** Groups items by name; the groups are in the order of their first items. */
export function groupBy<Item> (items: readonly Item[], nameOf: (item: Item) => string): Map<string, Item[]> {
  const groups = new Map<string, Item[]>()
  for (const item of items) {
    const name = nameOf(item)
    const group = groups.get(name) ?? []
    groups.set(name, group)
    group.push(item)
  }
  return groups
}
