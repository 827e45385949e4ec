/** Expected round trip in ms to an owner, by how far away it is. */
export const hopDelays = {
  sameHost: 0,
  sameZone: 1,
  sameRegion: 2,
  otherRegion: 70
} as const
